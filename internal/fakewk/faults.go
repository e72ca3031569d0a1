package fakewk

import (
	"encoding/json"
	"net/http"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// Faults are the switches of the stand-in; the zero value is a healthy worker.
type Faults struct {
	// FailAll fails every task that starts, after FailAfterMs.
	FailAll     bool `json:"fail-all,omitempty"`
	FailAfterMs int  `json:"fail-after-ms,omitempty"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// Hang never answers; HangOp limits it to one operation, such as "start".
	Hang   bool   `json:"hang,omitempty"`
	HangOp string `json:"hang-op,omitempty"`
	// Refuse refuses new reservations.
	Refuse bool `json:"refuse,omitempty"`
	// RefuseStart answers this many starts with a definite refusal.
	RefuseStart int `json:"refuse-start,omitempty"`
	// LoseAnswers applies this many calls and breaks the connection without an answer.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// Dead breaks every connection; setting it ends all tasks, and clearing it is a restart.
	Dead bool `json:"dead,omitempty"`
	// NoFence accepts stale tokens; it exists so that a check can show what fencing prevents.
	NoFence bool `json:"no-fence,omitempty"`
	// CheckpointMs makes checkpoints take this long.
	CheckpointMs int `json:"checkpoint-ms,omitempty"`
}

// Set replaces the switches.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Dead && !s.faults.Dead {
		s.wipe()
	}
	s.faults = faults
}

// wipe ends all tasks and reservations, as a crash of the machine does.
func (s *Server) wipe() {
	for _, held := range s.tasks {
		s.end(held, worker.TaskKilled)
		s.past = append(s.past, held.run())
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
		answer(w, http.StatusOK, s.Calls())
		return
	}
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(faults)
	answer(w, http.StatusOK, faults)
}

// inject applies the switches that concern whole calls and reports whether the call goes on.
func (s *Server) inject(w http.ResponseWriter, r *http.Request, op string) bool {
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
	if !wait(r, time.Duration(faults.DelayMs)*time.Millisecond) {
		return false
	}
	if refuseStart {
		answer(w, http.StatusConflict, refuse(worker.RefusedOther, "starts are refused"))
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
	s.apply(discard{header: http.Header{}}, inner)
	panic(http.ErrAbortHandler)
}

func wait(r *http.Request, delay time.Duration) bool {
	return clock.Sleep(r.Context(), delay) == nil
}

// discard is a ResponseWriter for answers that are lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
