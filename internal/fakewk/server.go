package fakewk

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Server is one worker. It is safe for concurrent use. Leases, runs and checkpoints end by timers.
type Server struct {
	// ID and Accelerators describe the worker; they are set before the first call.
	ID           model.WorkerID
	Accelerators model.Accelerators
	// CheckpointTime is the duration of a checkpoint.
	CheckpointTime time.Duration
	// UsageLag is the age of the load in usage reports.
	UsageLag time.Duration

	mu          sync.Mutex
	incarnation int
	// tokens holds the highest fencing token seen by data centre.
	tokens       map[model.DataCentreID]model.Token
	reservations map[model.ReservationID]*reservation
	tasks        map[model.TaskID]*task
	// formerRuns holds the tasks that are no longer listed, because of a restart or endedRetention.
	formerRuns []Run
	// usage holds the samples that a lagging report may need, oldest first.
	usage  []usageSample
	faults Faults
	// calls counts calls by operation.
	calls map[string]int
}

type reservation struct {
	worker.Reservation
	expires time.Time
	timer   *time.Timer
}

type task struct {
	worker.Task
	started, ended time.Time
	// runTime is the time from start to completion.
	runTime    time.Duration
	leaseTimer *time.Timer
	// finish ends the run or, while the task stops, its checkpoint.
	finish *time.Timer
	// done is closed when the task ends.
	done chan struct{}
}

type usageSample struct {
	at   time.Time
	busy model.Accelerators
}

// endedRetention is how long ended tasks stay in status answers.
const endedRetention = 10 * time.Minute

// New returns a worker without tasks.
func New(id model.WorkerID, accelerators model.Accelerators) *Server {
	return &Server{
		ID: id, Accelerators: accelerators, CheckpointTime: time.Second, UsageLag: 5 * time.Second, incarnation: 1,
		tokens:       map[model.DataCentreID]model.Token{},
		reservations: map[model.ReservationID]*reservation{},
		tasks:        map[model.TaskID]*task{},
		calls:        map[string]int{},
	}
}

// ServeHTTP serves the worker API and, under /faults, the fault switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	if s.injectFaults(w, r, strings.TrimPrefix(r.URL.Path, "/v1/")) {
		s.serveOperation(w, r)
	}
}

func (s *Server) serveOperation(w http.ResponseWriter, r *http.Request) {
	switch strings.TrimPrefix(r.URL.Path, "/v1/") {
	case "reserve":
		handle(w, r, s.reserve)
	case "start":
		handle(w, r, s.start)
	case "renew":
		handle(w, r, s.renew)
	case "stop":
		s.serveStop(w, r)
	case "release":
		handle(w, r, s.release)
	case "state":
		s.mu.Lock()
		status := s.status(func(*task) bool { return true })
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, status)
	default:
		http.Error(w, "path does not exist", http.StatusNotFound)
	}
}

// Calls returns the number of calls by operation.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for op, count := range s.calls {
		calls[op] = count
	}
	return calls
}

// Run is one task and the period in which it held accelerators.
type Run struct {
	worker.Task
	Started time.Time
	// Ended is zero while the task runs.
	Ended time.Time
}

// Runs returns all tasks that were ever started, ordered by start time.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := slices.Clone(s.formerRuns)
	for _, held := range s.tasks {
		runs = append(runs, held.run())
	}
	slices.SortFunc(runs, func(a, b Run) int {
		if order := a.Started.Compare(b.Started); order != 0 {
			return order
		}
		return strings.Compare(string(a.Task.Task), string(b.Task.Task))
	})
	return runs
}

func (t *task) run() Run { return Run{Task: t.Task, Started: t.started, Ended: t.ended} }

// handle decodes a message, calls fn and answers with its result, or with 409 and its refusal.
func handle[Req, Res any](w http.ResponseWriter, r *http.Request, fn func(Req) (Res, *worker.RefusedError)) {
	var message Req
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, refused := fn(message)
	if refused != nil {
		writeJSON(w, http.StatusConflict, refused)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // The client has disconnected.
	}
}

func refusal(reason worker.RefusalReason, format string, args ...any) *worker.RefusedError {
	return &worker.RefusedError{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// checkToken refuses a token below the highest one seen for the data centre and records a higher one; the caller holds s.mu.
func (s *Server) checkToken(dc model.DataCentreID, token model.Token) *worker.RefusedError {
	if highest := s.tokens[dc]; token < highest && !s.faults.NoFence {
		return refusal(worker.RefusedStaleToken, "token %d is below %d", token, highest)
	}
	s.tokens[dc] = max(s.tokens[dc], token)
	return nil
}

// free returns the accelerators that are neither reserved nor in use; the caller holds s.mu.
func (s *Server) free() model.Accelerators {
	free := s.Accelerators
	for _, held := range s.reservations {
		if time.Now().Before(held.expires) {
			free -= held.Accelerators
		}
	}
	return free - s.busy()
}

// busy returns the accelerators in use by tasks; the caller holds s.mu.
func (s *Server) busy() model.Accelerators {
	busy := model.Accelerators(0)
	for _, held := range s.tasks {
		if !held.State.Ended() {
			busy += held.Accelerators
		}
	}
	return busy
}

// status returns the worker's status with the tasks that match; the caller holds s.mu.
func (s *Server) status(match func(*task) bool) worker.Status {
	status := worker.Status{
		Worker: s.ID, Incarnation: model.Incarnation(fmt.Sprint(s.incarnation)), Accelerators: s.Accelerators,
		Tasks: []worker.Task{}, Usage: s.reportedUsage(),
	}
	for _, held := range s.tasks {
		if !match(held) {
			continue
		}
		seen := held.Task
		if seen.State == worker.TaskRunning {
			seen.ProgressMs = time.Since(held.started).Milliseconds()
		}
		status.Tasks = append(status.Tasks, seen)
	}
	for _, held := range s.reservations {
		seen := held.Reservation
		seen.LeftMs = time.Until(held.expires).Milliseconds()
		status.Reservations = append(status.Reservations, seen)
	}
	slices.SortFunc(status.Tasks, func(a, b worker.Task) int { return strings.Compare(string(a.Task), string(b.Task)) })
	return status
}

// recordUsage adds a sample of the load and drops those older than reports need; the caller holds s.mu.
func (s *Server) recordUsage() {
	now := time.Now()
	s.usage = append(s.usage, usageSample{at: now, busy: s.busy()})
	for len(s.usage) > 1 && now.Sub(s.usage[1].at) > s.UsageLag {
		s.usage = s.usage[1:]
	}
}

// reportedUsage returns the load as it was UsageLag ago; the caller holds s.mu.
func (s *Server) reportedUsage() worker.Usage {
	report := worker.Usage{AgeMs: s.UsageLag.Milliseconds()}
	for _, seen := range s.usage {
		if time.Since(seen.at) >= s.UsageLag {
			report.Busy = seen.busy
		}
	}
	return report
}
