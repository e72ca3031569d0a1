package fakeep

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// HeaderIncarnation names the endpoint's process in its answers.
const HeaderIncarnation = "Peridot-Incarnation"

// Server is one endpoint; its exported fields are set before the first call.
type Server struct {
	Slots       model.SlotCount
	Incarnation model.Incarnation
	// Service returns how long one run of a class takes; nil means no time.
	Service func(class model.RequestClassID) time.Duration

	mu      sync.Mutex
	busy    int
	leaving bool
	faults  Faults
	runs    map[model.RequestID]int
	sends   int
	refused int
	// silent holds the connections that were open when the Silent switch was set.
	silent   map[string]bool
	known    map[string]bool
	crossing *stored
}

// stored is an answer kept to be delivered for another request.
type stored struct {
	id   model.RequestID
	body []byte
}

// New returns a healthy endpoint.
func New(slots model.SlotCount) *Server {
	return &Server{
		Slots: slots, Incarnation: "1",
		runs: map[model.RequestID]int{}, silent: map[string]bool{}, known: map[string]bool{},
	}
}

// Runs returns how often each request ran.
func (s *Server) Runs() map[model.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Counts returns all run calls that arrived and those refused before running.
func (s *Server) Counts() (arrived, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends, s.refused
}

// SetLeaving makes the endpoint say in each answer that it is leaving; it still serves.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Restart gives the endpoint a new incarnation that is not leaving and has no faults.
func (s *Server) Restart(incarnation model.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Incarnation, s.leaving, s.faults = incarnation, false, Faults{}
	s.silent = map[string]bool{}
}

// ServeHTTP answers the endpoint interface and, under /faults, the switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	if s.isSilent(r.RemoteAddr) {
		// The server notices that the caller has gone only after the body was read.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/v1/health":
		s.health(w)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/run/"):
		s.run(w, r, model.RequestClassID(strings.TrimPrefix(r.URL.Path, "/v1/run/")))
	default:
		http.Error(w, "path does not exist", http.StatusNotFound)
	}
}

func (s *Server) isSilent(remote string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[remote] = true
	return s.silent[remote]
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	down := s.faults.HealthDown
	s.load(w.Header())
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// load sets the headers that every answer carries; s.mu is held.
func (s *Server) load(header http.Header) {
	header.Set(reply.HeaderSlots, strconv.Itoa(int(s.Slots)))
	header.Set(reply.HeaderBusy, strconv.Itoa(s.busy))
	header.Set(HeaderIncarnation, string(s.Incarnation))
	if s.leaving {
		header.Set(reply.HeaderLeaving, "true")
	}
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, class model.RequestClassID) {
	id := model.RequestID(r.Header.Get(reply.HeaderRequestID))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The caller has gone before the request was complete; it did not run.
	}
	faults, ok := s.begin(w, r, id)
	if !ok {
		return
	}
	if faults.CutBefore {
		panic(http.ErrAbortHandler)
	}
	service := time.Duration(faults.SlowMs) * time.Millisecond
	if s.Service != nil {
		service += s.Service(class)
	}
	pause(r, service)
	answer := append([]byte("answer to "+string(id)+": "), body...)
	s.finish(w, r, stored{id: id, body: answer}, faults)
}

// begin takes a slot and counts the run; ok is false when the request was refused before running.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, id model.RequestID) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	faults := s.faults.draw()
	header := w.Header()
	if faults.Refuse || s.busy >= int(s.Slots) {
		s.refused++
		s.load(header)
		header.Set(reply.HeaderRequestID, string(id))
		header.Set(reply.HeaderAttempt, r.Header.Get(reply.HeaderAttempt))
		header.Set(reply.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return faults, false
	}
	s.runs[id]++
	s.busy++
	return faults, true
}

func digest(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

func (s *Server) finish(w http.ResponseWriter, r *http.Request, answer stored, faults Faults) {
	s.mu.Lock()
	s.busy--
	if faults.Cross {
		previous := s.crossing
		s.crossing = &answer
		if previous == nil {
			previous = &stored{id: answer.id + "-other", body: []byte("answer to another request")}
		}
		answer = *previous
	}
	s.load(w.Header())
	s.mu.Unlock()
	if faults.LateMs > 0 {
		pause(r, time.Duration(faults.LateMs)*time.Millisecond)
	}
	header := w.Header()
	header.Set(reply.HeaderRequestID, string(answer.id))
	header.Set(reply.HeaderAttempt, r.Header.Get(reply.HeaderAttempt))
	header.Set("Content-Type", "application/octet-stream")
	if faults.Fail {
		header.Set(reply.HeaderDigest, digest(nil))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set(reply.HeaderDigest, digest(answer.body))
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	body := answer.body
	if faults.Cut {
		body = body[:len(body)/2]
	}
	if faults.Corrupt {
		body = append([]byte("X"), body[1:]...)
	}
	if _, err := w.Write(body); err != nil || faults.Cut {
		panic(http.ErrAbortHandler)
	}
}

// pause waits for the time that a run takes, or until the caller has gone.
func pause(r *http.Request, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(faults)
	}
	s.mu.Lock()
	state := struct {
		Faults Faults                  `json:"faults"`
		Runs   map[model.RequestID]int `json:"runs"`
	}{s.faults, maps.Clone(s.runs)}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		return // The client has gone.
	}
}
