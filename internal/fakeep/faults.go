package fakeep

import "maps"

// Faults are the switches; the zero value is a healthy endpoint.
type Faults struct {
	// Fail runs each request and answers 500.
	Fail bool `json:"fail,omitempty"`
	// HealthDown answers 500 to the health probe.
	HealthDown bool `json:"health-down,omitempty"`
	// Refuse answers 503 with Peridot-Not-Run before running.
	Refuse bool `json:"refuse,omitempty"`
	// SlowMs is added to each run.
	SlowMs int `json:"slow-ms,omitempty"`
	// LateMs delays the answer after the run.
	LateMs int `json:"late-ms,omitempty"`
	// CutBefore runs the request and breaks the connection without an answer.
	CutBefore bool `json:"cut-before,omitempty"`
	// Cut breaks the connection in the middle of the answer's body.
	Cut bool `json:"cut,omitempty"`
	// Corrupt changes a byte of the answer after its digest was taken.
	Corrupt bool `json:"corrupt,omitempty"`
	// Cross answers with another request's id and body.
	Cross bool `json:"cross,omitempty"`
	// Silent answers nothing on the connections that are open when the switch is set; new ones work.
	Silent bool `json:"silent,omitempty"`
	// Leaving makes each answer say that the endpoint is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Every limits the faults of runs to each n-th one; zero means all.
	Every int `json:"every,omitempty"`

	count int
	// Script, when set, decides the faults of each run instead of the switches.
	Script func(n int) Faults `json:"-"`
}

// draw returns the faults that apply to the next run.
func (f *Faults) draw() Faults {
	f.count++
	if f.Script != nil {
		return f.Script(f.count)
	}
	if f.Every > 1 && f.count%f.Every != 0 {
		return Faults{}
	}
	return *f
}

// Set replaces the switches.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = map[string]bool{}
	if faults.Silent {
		s.silent = maps.Clone(s.known)
	}
	s.leaving = faults.Leaving
	s.faults = faults
}
