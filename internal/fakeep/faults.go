package fakeep

import "maps"

// Faults are the fault switches of the endpoint; the zero value is a healthy endpoint.
type Faults struct {
	// Fail runs each request and answers 500.
	Fail bool `json:"fail,omitempty"`
	// HealthDown answers 500 to the health probe.
	HealthDown bool `json:"health-down,omitempty"`
	// Refuse answers 503 with Peridot-Not-Run before running.
	Refuse bool `json:"refuse,omitempty"`
	// SlowMs is added to the service time of each run, in milliseconds.
	SlowMs int `json:"slow-ms,omitempty"`
	// LateMs delays the answer after the run, in milliseconds.
	LateMs int `json:"late-ms,omitempty"`
	// LoseAnswer runs the request and breaks the connection without an answer.
	LoseAnswer bool `json:"cut-before,omitempty"`
	// CutBody breaks the connection in the middle of the answer's body.
	CutBody bool `json:"cut,omitempty"`
	// Corrupt changes a byte of the answer after its digest was computed.
	Corrupt bool `json:"corrupt,omitempty"`
	// CrossAnswers answers with another request's ID and body.
	CrossAnswers bool `json:"cross,omitempty"`
	// Silent leaves requests unanswered on the connections known when the switch is set; new connections work.
	Silent bool `json:"silent,omitempty"`
	// Leaving announces in each answer that the endpoint is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Every limits the faults of runs to every n-th run; 0 means all.
	Every int `json:"every,omitempty"`

	runCount int
	// Script, when set, returns the faults of run n, counted from 1, in place of the switches.
	Script func(n int) Faults `json:"-"`
}

// forNextRun counts a run and returns the faults that apply to it.
func (f *Faults) forNextRun() Faults {
	f.runCount++
	if f.Script != nil {
		return f.Script(f.runCount)
	}
	if f.Every > 1 && f.runCount%f.Every != 0 {
		return Faults{}
	}
	return *f
}

// Set replaces the fault switches.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentConns = map[string]bool{}
	if faults.Silent {
		s.silentConns = maps.Clone(s.knownConns)
	}
	s.leaving = faults.Leaving
	s.faults = faults
}
