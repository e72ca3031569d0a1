package front

import (
	"encoding/json"
	"net/http"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// jobsClass labels the counters of refused job calls.
const jobsClass = "jobs"

func (s *Server) serveJobs(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.refuse(w, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use POST", r.Method), jobsClass)
		return
	}
	if s.Submit == nil {
		s.refuse(w, reply.Refused(reply.ReasonNotFound, "jobs are not served here"), jobsClass)
		return
	}
	body, err := readBody(w, r)
	if err == nil && !json.Valid(body) {
		err = reply.Refused(reply.ReasonMalformed, "the body is not JSON")
	}
	var record json.RawMessage
	if err == nil {
		record, err = s.Submit(r.Context(), body)
	}
	s.answerJob(w, http.StatusAccepted, record, err)
}

func (s *Server) serveJob(w http.ResponseWriter, r *http.Request) {
	id := model.JobID(r.PathValue("id"))
	call, status := s.Get, http.StatusOK
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		call, status = s.Cancel, http.StatusAccepted
	default:
		w.Header().Set("Allow", "GET, DELETE")
		s.refuse(w, reply.Refused(reply.ReasonMalformed, "method %s is not allowed, use GET or DELETE", r.Method), jobsClass)
		return
	}
	if call == nil {
		s.refuse(w, reply.Refused(reply.ReasonNotFound, "jobs are not served here"), jobsClass)
		return
	}
	record, err := call(r.Context(), id)
	s.answerJob(w, status, record, err)
}

func (s *Server) answerJob(w http.ResponseWriter, status int, record json.RawMessage, err *reply.Error) {
	if err != nil {
		s.refuse(w, err, jobsClass)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(record); err != nil {
		s.Log.Debug().Err(err).Msg("front: caller has gone")
	}
}
