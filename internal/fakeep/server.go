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

// HeaderIncarnation is the answer header with the incarnation of the endpoint's process.
const HeaderIncarnation = "Peridot-Incarnation"

// Server is one endpoint. It is safe for concurrent use; its exported fields are set before the first call.
type Server struct {
	Slots       model.SlotCount
	Incarnation model.Incarnation
	// ServiceTime returns the service time of one run of a class; nil means 0.
	ServiceTime func(class model.RequestClassID) time.Duration

	mu      sync.Mutex
	busy    int
	leaving bool
	faults  Faults
	// runs counts the runs of each request.
	runs map[model.RequestID]int
	// runCalls and refused count the run calls and those refused before running.
	runCalls int
	refused  int
	// silentConns holds the remote addresses of the connections that were known when the Silent switch was set.
	silentConns map[string]bool
	// knownConns holds the remote addresses of all connections with a request so far.
	knownConns map[string]bool
	// crossed is the latest answer held back by the CrossAnswers switch, for the next request.
	crossed *storedAnswer
}

// storedAnswer is the answer to one request; the CrossAnswers switch delivers it to another.
type storedAnswer struct {
	id   model.RequestID
	body []byte
}

// New returns a healthy endpoint.
func New(slots model.SlotCount) *Server {
	return &Server{
		Slots: slots, Incarnation: "1",
		runs: map[model.RequestID]int{}, silentConns: map[string]bool{}, knownConns: map[string]bool{},
	}
}

// RunCounts returns the number of runs of each request.
func (s *Server) RunCounts() map[model.RequestID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Counts returns the number of run calls and of those refused before running.
func (s *Server) Counts() (arrived, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCalls, s.refused
}

// SetLeaving sets whether each answer announces that the endpoint is leaving; it serves requests in either case.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Restart gives the endpoint a new incarnation and clears leaving and faults.
func (s *Server) Restart(incarnation model.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Incarnation, s.leaving, s.faults = incarnation, false, Faults{}
	s.silentConns = map[string]bool{}
}

// ServeHTTP serves the endpoint API and, under /faults, the fault switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	if s.isSilent(r.RemoteAddr) {
		// net/http detects a closed connection only after the body has been read.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/v1/health":
		s.serveHealth(w)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/run/"):
		s.serveRun(w, r, model.RequestClassID(strings.TrimPrefix(r.URL.Path, "/v1/run/")))
	default:
		http.Error(w, "path does not exist", http.StatusNotFound)
	}
}

// isSilent reports whether the connection from remote is silent, and records it as known.
func (s *Server) isSilent(remote string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownConns[remote] = true
	return s.silentConns[remote]
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	down := s.faults.HealthDown
	s.setLoadHeaders(w.Header())
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// setLoadHeaders sets the load, incarnation and leaving headers; the caller holds s.mu.
func (s *Server) setLoadHeaders(header http.Header) {
	header.Set(reply.HeaderSlots, strconv.Itoa(int(s.Slots)))
	header.Set(reply.HeaderBusy, strconv.Itoa(s.busy))
	header.Set(HeaderIncarnation, string(s.Incarnation))
	if s.leaving {
		header.Set(reply.HeaderLeaving, "true")
	}
}

func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, class model.RequestClassID) {
	id := model.RequestID(r.Header.Get(reply.HeaderRequestID))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The caller disconnected before the request was complete; it did not run.
	}
	faults, ok := s.beginRun(w, r, id)
	if !ok {
		return
	}
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	serviceTime := time.Duration(faults.SlowMs) * time.Millisecond
	if s.ServiceTime != nil {
		serviceTime += s.ServiceTime(class)
	}
	pause(r, serviceTime)
	answer := append([]byte("answer to "+string(id)+": "), body...)
	s.finishRun(w, r, storedAnswer{id: id, body: answer}, faults)
}

// beginRun takes a slot and counts the run; it returns false when it has refused the request before running.
func (s *Server) beginRun(w http.ResponseWriter, r *http.Request, id model.RequestID) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCalls++
	faults := s.faults.forNextRun()
	header := w.Header()
	if faults.Refuse || s.busy >= int(s.Slots) {
		s.refused++
		s.setLoadHeaders(header)
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

// finishRun frees the slot and answers, with the faults that concern answers.
func (s *Server) finishRun(w http.ResponseWriter, r *http.Request, answer storedAnswer, faults Faults) {
	s.mu.Lock()
	s.busy--
	if faults.CrossAnswers {
		previous := s.crossed
		s.crossed = &answer
		if previous == nil {
			previous = &storedAnswer{id: answer.id + "-other", body: []byte("answer to another request")}
		}
		answer = *previous
	}
	s.setLoadHeaders(w.Header())
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
	if faults.CutBody {
		body = body[:len(body)/2]
	}
	if faults.Corrupt {
		body = append([]byte("X"), body[1:]...)
	}
	if _, err := w.Write(body); err != nil || faults.CutBody {
		panic(http.ErrAbortHandler)
	}
}

// pause waits for a duration, or until the caller disconnects.
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
		return // The client has disconnected.
	}
}
