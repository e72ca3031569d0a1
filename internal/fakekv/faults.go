package fakekv

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/store"
)

// Faults are the switches of the stand-in; the zero value is a healthy service.
type Faults struct {
	// Down answers 503 to every call.
	Down bool `json:"down,omitempty"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// LoseAnswers applies this many writes to keys under LosePrefix and breaks the connection without an answer.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LosePrefix limits LoseAnswers; empty means all keys.
	LosePrefix string `json:"lose-prefix,omitempty"`
	// StaleReads answers reads from the state at the time when the switch was set, unless min-revision is newer.
	StaleReads bool `json:"stale-reads,omitempty"`
	// DownFor limits Down to callers whose X-Instance header has this value.
	DownFor string `json:"down-for,omitempty"`
}

// InstanceHeader lets the stand-in be down for one caller only.
const InstanceHeader = store.InstanceHeader

// down reports whether the caller of r finds the service unavailable.
func (f Faults) down(r *http.Request) bool {
	return f.Down || (f.DownFor != "" && f.DownFor == r.Header.Get(InstanceHeader))
}

// Set replaces the switches.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.faults.StaleReads {
		s.stale, s.staleRev = maps.Clone(s.entries), s.revision
	}
	if !faults.StaleReads {
		s.stale = nil
	}
	s.faults = faults
	s.notify()
}

// maxPause is the longest TTL of a lease that a paused holder lets expire; claims and records have leases of many hours.
const maxPause = time.Minute

// LapseLeases ends all short leases at once, as if their holders had been paused.
func (s *Server) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if held.ttl <= maxPause {
			s.end(id)
		}
	}
	s.notify()
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		answer(w, http.StatusOK, s.Calls())
		return
	}
	if r.URL.Query().Get("lapse") != "" {
		s.LapseLeases()
		answer(w, http.StatusOK, Faults{})
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

// inject applies delay and outage, and tells whether the answer is to be lost; ok is false when it has answered.
func (s *Server) inject(w http.ResponseWriter, r *http.Request) (loseAnswer, ok bool) {
	s.mu.Lock()
	faults := s.faults
	s.calls[r.Method+" "+callName(r.URL.Path)]++
	down := faults.down(r)
	if !down && r.Method != http.MethodGet && faults.LoseAnswers > 0 && strings.Contains(r.URL.Path, faults.LosePrefix) {
		s.faults.LoseAnswers--
		loseAnswer = true
	}
	s.mu.Unlock()
	if faults.DelayMs > 0 {
		time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	}
	if down {
		http.Error(w, "service is unavailable", http.StatusServiceUnavailable)
		return false, false
	}
	return loseAnswer, true
}

func callName(path string) string {
	parts := strings.SplitN(strings.Trim(path, "/"), "/", 3)
	if len(parts) < 2 {
		return path
	}
	return parts[1]
}

// discard is a ResponseWriter for answers that are lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
