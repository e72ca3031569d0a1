package fakekv

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"time"

	"peridotgw.example/peridotgw/internal/store"
)

// Faults are the fault switches of the service; the zero value is a healthy service.
type Faults struct {
	// Down answers 503 to every call.
	Down bool `json:"down,omitempty"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
	// LoseAnswers is the number of writes that are applied and whose connection then breaks without an answer.
	LoseAnswers int `json:"lose-answers,omitempty"`
	// LosePrefix limits LoseAnswers to request paths that contain it; empty means all writes.
	LosePrefix string `json:"lose-prefix,omitempty"`
	// StaleReads answers reads from a snapshot taken when the switch was set, unless min-revision is newer.
	StaleReads bool `json:"stale-reads,omitempty"`
	// DownFor answers 503 only to callers whose X-Instance header has this value.
	DownFor string `json:"down-for,omitempty"`
}

// InstanceHeader names the calling instance; DownFor is compared with it.
const InstanceHeader = store.InstanceHeader

// down reports whether the service is unavailable to the caller of r.
func (f Faults) down(r *http.Request) bool {
	return f.Down || (f.DownFor != "" && f.DownFor == r.Header.Get(InstanceHeader))
}

// Set replaces the fault switches and wakes all watches, because an outage ends them.
func (s *Server) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.StaleReads && !s.faults.StaleReads {
		s.staleEntries, s.staleRevision = maps.Clone(s.entries), s.revision
	}
	if !faults.StaleReads {
		s.staleEntries = nil
	}
	s.faults = faults
	s.notifyWatches()
}

// maxShortTTL is the longest TTL of the leases that ExpireShortLeases ends. Claims and records have leases of many hours, which no
// pause of their holder outlasts.
const maxShortTTL = time.Minute

// ExpireShortLeases ends all leases with a TTL of up to one minute at once, as if their holders had been paused.
func (s *Server) ExpireShortLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if held.ttl <= maxShortTTL {
			s.endLease(id)
		}
	}
	s.notifyWatches()
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, s.Calls())
		return
	}
	if r.URL.Query().Get("lapse") != "" {
		s.ExpireShortLeases()
		writeJSON(w, http.StatusOK, Faults{})
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

// injectFaults counts the call and applies delay and outage. loseAnswer reports whether the answer must be lost; ok is false
// when the call has been answered with 503.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request) (loseAnswer, ok bool) {
	s.mu.Lock()
	faults := s.faults
	s.calls[r.Method+" "+callGroup(r.URL.Path)]++
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

// callGroup returns the second element of a request path, such as "kv" for /v1/kv/a.
func callGroup(path string) string {
	parts := strings.SplitN(strings.Trim(path, "/"), "/", 3)
	if len(parts) < 2 {
		return path
	}
	return parts[1]
}

// discardWriter is a ResponseWriter that drops the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}
