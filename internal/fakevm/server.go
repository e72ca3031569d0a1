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

// Faults are the fault switches of the list; the zero value answers at once with the current list.
type Faults struct {
	// LagMs is the age of the list in answers, in milliseconds.
	LagMs int `json:"lag-ms,omitempty"`
	// Down answers 503 to every call for the list.
	Down bool `json:"down,omitempty"`
	// DelayMs delays each answer, in milliseconds.
	DelayMs int `json:"delay-ms,omitempty"`
}

// Server keeps the history of the list, so that it can answer with a past version. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	history []version // oldest first, never empty
}

// version is the list from one change to the next.
type version struct {
	at  time.Time
	vms []vmlist.VM
}

// maxVersions bounds the history, and so how far back a lagging answer can go.
const maxVersions = 1000

// New returns a server whose list holds vms.
func New(vms ...vmlist.VM) *Server {
	return &Server{history: []version{{vms: slices.Clone(vms)}}}
}

// SetVMs replaces the list.
func (s *Server) SetVMs(vms []vmlist.VM) {
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

// Remove removes the VM with the name, if it is listed.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.Clone(s.history[len(s.history)-1].vms)
	s.append(slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.Name == name }))
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// VMs returns the list as a caller sees it now, LagMs old.
func (s *Server) VMs() []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(s.faults.LagMs) * time.Millisecond)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(asOf) {
			return slices.Clone(s.history[i].vms)
		}
	}
	return slices.Clone(s.history[0].vms)
}

// append makes vms the current list; the caller holds s.mu.
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
		s.serveList(w, r)
	case "PUT /vms":
		decodeAndApply(w, r, s.Put)
	case "DELETE /vms":
		s.Remove(r.URL.Query().Get("name"))
		w.WriteHeader(http.StatusNoContent)
	case "POST /faults":
		decodeAndApply(w, r, s.SetFaults)
	default:
		http.Error(w, "path does not exist", http.StatusNotFound)
	}
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
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
		return // The client has disconnected.
	}
}

// decodeAndApply decodes a JSON body and passes it to apply.
func decodeAndApply[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(value)
	w.WriteHeader(http.StatusNoContent)
}
