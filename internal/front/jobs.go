package front

import (
	"encoding/json"
	"net/http"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// jobsClass is the class label of failed job calls in the metrics of outcomes and refusals.
const jobsClass = "jobs"

func (s *Server) serveJobSubmission(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.writeError(w, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use POST", r.Method), jobsClass)
		return
	}
	if s.Submit == nil {
		s.writeError(w, reply.Refused(reply.ReasonNotFound, "jobs are not served here"), jobsClass)
		return
	}
	body, err := readBody(r.Context(), w, r)
	if err == nil && !json.Valid(body) {
		err = reply.Refused(reply.ReasonMalformed, "the body is not JSON")
	}
	var record json.RawMessage
	if err == nil {
		record, err = s.Submit(r.Context(), body)
	}
	s.writeJob(w, http.StatusAccepted, record, err)
}

func (s *Server) serveJobByID(w http.ResponseWriter, r *http.Request) {
	id := model.JobID(r.PathValue("id"))
	call, status := s.Get, http.StatusOK
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		call, status = s.Cancel, http.StatusAccepted
	default:
		w.Header().Set("Allow", "GET, DELETE")
		s.writeError(w, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use GET or DELETE", r.Method), jobsClass)
		return
	}
	if call == nil {
		s.writeError(w, reply.Refused(reply.ReasonNotFound, "jobs are not served here"), jobsClass)
		return
	}
	record, err := call(r.Context(), id)
	s.writeJob(w, status, record, err)
}

func (s *Server) writeJob(w http.ResponseWriter, status int, record json.RawMessage, err *reply.Error) {
	if err != nil {
		s.writeError(w, err, jobsClass)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(record); err != nil {
		s.Log.Debug().Err(err).Msg("front: caller disconnected before the answer was written")
	}
}
