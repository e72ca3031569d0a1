package fakevm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/internal/vmlist"
)

// Faults are the switches; the zero value is a list that answers at once and is current.
type Faults struct {
	// LagMs answers with the list as it was this long ago.
	LagMs int `json:"lag-ms,omitempty"`
	// Down answers 503.
	Down bool `json:"down,omitempty"`
	// DelayMs delays each answer.
	DelayMs int `json:"delay-ms,omitempty"`
}

// Server keeps the history of the list, so that it can answer with a past state.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	history []version
}

type version struct {
	at  time.Time
	vms []vmlist.VM
}

// maxVersions bounds the past states that a lagging answer can show.
const maxVersions = 1000

// New returns a server with a first list.
func New(vms ...vmlist.VM) *Server {
	return &Server{history: []version{{vms: slices.Clone(vms)}}}
}

// Set replaces the list.
func (s *Server) Set(vms []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(slices.Clone(vms))
}

// Put adds or replaces one VM.
func (s *Server) Put(vm vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.history[len(s.history)-1].vms)
	if i := slices.IndexFunc(vms, func(other vmlist.VM) bool { return other.Name == vm.Name }); i >= 0 {
		vms[i] = vm
	} else {
		vms = append(vms, vm)
	}
	s.append(vms)
}

// Remove takes one VM off the list.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.history[len(s.history)-1].vms)
	s.append(slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.Name == name }))
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// VMs returns the list that a caller gets now, after the lag.
func (s *Server) VMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := time.Now().Add(-time.Duration(s.faults.LagMs) * time.Millisecond)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(shown) {
			return slices.Clone(s.history[i].vms)
		}
	}
	return slices.Clone(s.history[0].vms)
}

func (s *Server) append(vms []vmlist.VM) {
	s.history = append(s.history, version{at: time.Now(), vms: vms})
	if len(s.history) > maxVersions {
		s.history = slices.Delete(s.history, 0, len(s.history)-maxVersions)
	}
}

// ServeHTTP answers GET /v1/vms, PUT /vms (one VM), DELETE /vms?name= and POST /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/vms":
		s.list(w, r)
	case "PUT /vms":
		change(w, r, s.Put)
	case "DELETE /vms":
		s.Remove(r.URL.Query().Get("name"))
		w.WriteHeader(http.StatusNoContent)
	case "POST /faults":
		change(w, r, s.SetFaults)
	default:
		http.Error(w, "path does not exist", http.StatusNotFound)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.Down {
		http.Error(w, "service is unavailable", http.StatusServiceUnavailable)
		return
	}
	vms := s.VMs()
	if vms == nil {
		vms = []vmlist.VM{}
	}
	body, err := json.Marshal(vms)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		return // The client has gone.
	}
}

func change[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	w.WriteHeader(http.StatusNoContent)
}
