package fakewk

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Faults are the fault switches of the worker; the zero value is a healthy worker.
type Faults struct {
	// FailAll fails every task that starts, FailAfterMs milliseconds after its start.
	FailAll     bool `json:"fail-all,omitempty"`
	FailAfterMs int  `json:"fail-after-ms,omitempty"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// Hang leaves calls unanswered; HangOp limits it to one operation, such as "start".
	Hang   bool   `json:"hang,omitempty"`
	HangOp string `json:"hang-op,omitempty"`
	// Refuse refuses new reservations.
	Refuse bool `json:"refuse,omitempty"`
	// RefuseStart is the number of starts that are answered with a definite refusal.
	RefuseStart int `json:"refuse-start,omitempty"`
	// LoseAnswers is the number of calls that are applied and whose connection then breaks without an answer; state calls are
	// exempt.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// Dead breaks every connection. Setting it ends all tasks; clearing it restarts the worker with a new incarnation.
	Dead bool `json:"dead,omitempty"`
	// NoFence accepts stale fencing tokens, so that a test can show what fencing prevents.
	NoFence bool `json:"no-fence,omitempty"`
	// CheckpointMs is the duration of a checkpoint, in milliseconds; 0 means Server.CheckpointTime.
	CheckpointMs int `json:"checkpoint-ms,omitempty"`
}

// Set replaces the fault switches.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Dead && !s.faults.Dead {
		s.wipeState()
	}
	s.faults = faults
}

// wipeState ends all tasks and reservations and starts a new incarnation, as a crash of the machine does; the caller holds s.mu.
func (s *Server) wipeState() {
	for _, held := range s.tasks {
		s.endTask(held, worker.TaskKilled)
		s.formerRuns = append(s.formerRuns, held.run())
	}
	for _, held := range s.reservations {
		held.timer.Stop()
	}
	s.tasks = map[model.TaskID]*task{}
	s.reservations = map[model.ReservationID]*reservation{}
	s.tokens = map[model.DataCentreID]model.Token{}
	s.incarnation++
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, s.Calls())
		return
	}
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(faults)
	writeJSON(w, http.StatusOK, faults)
}

// injectFaults counts the call, applies the switches that concern whole calls, and reports whether the call proceeds.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request, op string) bool {
	s.mu.Lock()
	s.calls[op]++
	faults := s.faults
	lose := faults.LoseAnswers > 0 && op != "state"
	if lose {
		s.faults.LoseAnswers--
	}
	refuseStart := op == "start" && faults.RefuseStart > 0
	if refuseStart {
		s.faults.RefuseStart--
	}
	s.mu.Unlock()
	if faults.Dead {
		panic(http.ErrAbortHandler)
	}
	if faults.Hang && (faults.HangOp == "" || faults.HangOp == op) {
		<-r.Context().Done()
		return false
	}
	if !sleepOrDone(r, time.Duration(faults.DelayMs)*time.Millisecond) {
		return false
	}
	if refuseStart {
		writeJSON(w, http.StatusConflict, refusal(worker.RefusedOther, "starts are refused"))
		return false
	}
	if lose {
		s.loseAnswer(r)
	}
	return true
}

// loseAnswer applies the call and breaks the connection without an answer.
func (s *Server) loseAnswer(r *http.Request) {
	inner := r.Clone(r.Context())
	s.serveOperation(discardWriter{header: http.Header{}}, inner)
	panic(http.ErrAbortHandler)
}

// sleepOrDone waits for delay and reports false when the request ends first.
func sleepOrDone(r *http.Request, delay time.Duration) bool {
	return clock.Sleep(r.Context(), delay) == nil
}

// discardWriter is a ResponseWriter that drops the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
