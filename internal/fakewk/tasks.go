package fakewk

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

func (s *Server) reserve(m worker.Reserve) (worker.Reserved, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.fence(m.DataCentre, m.Token); refused != nil {
		return worker.Reserved{}, refused
	}
	ttl := time.Duration(m.TTLMs) * time.Millisecond
	held, found := s.reservations[m.Reservation]
	if !found {
		if s.faults.Refuse {
			return worker.Reserved{}, refuse(worker.RefusedOther, "reservations are refused")
		}
		if free := s.free(); m.Accelerators > free {
			return worker.Reserved{}, refuse(worker.RefusedFull, "%d accelerators asked, %d free", m.Accelerators, free)
		}
		held = &reservation{Reservation: worker.Reservation{Reservation: m.Reservation, Job: m.Job, Accelerators: m.Accelerators}}
		s.reservations[m.Reservation] = held
	} else {
		held.timer.Stop()
	}
	held.expires = time.Now().Add(ttl)
	held.timer = time.AfterFunc(ttl, func() { s.expireReservation(held) })
	return worker.Reserved{Reservation: m.Reservation, LeftMs: m.TTLMs}, nil
}

func (s *Server) expireReservation(held *reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reservations[held.Reservation.Reservation] == held && !time.Now().Before(held.expires) {
		delete(s.reservations, held.Reservation.Reservation)
	}
}

func (s *Server) start(m worker.Start) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.fence(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	mine := func(t *task) bool { return t.Job == m.Job }
	if _, found := s.tasks[m.Task]; found {
		return s.status(mine), nil
	}
	accelerators := m.Accelerators
	if held, found := s.reservations[m.Reservation]; found && time.Now().Before(held.expires) {
		held.timer.Stop()
		delete(s.reservations, m.Reservation)
		accelerators = held.Accelerators
	} else if m.Reservation != "" {
		return worker.Status{}, refuse(worker.RefusedNoReservation, "reservation %q does not exist or has expired", m.Reservation)
	} else if free := s.free(); accelerators > free {
		return worker.Status{}, refuse(worker.RefusedFull, "%d accelerators asked, %d free", accelerators, free)
	}
	started := &task{
		Task: worker.Task{
			Task: m.Task, Job: m.Job, DataCentre: m.DataCentre, State: worker.TaskRunning, Accelerators: accelerators,
		},
		started: time.Now(), runs: time.Duration(m.RunMs) * time.Millisecond, done: make(chan struct{}),
	}
	s.tasks[m.Task] = started
	started.lease = time.AfterFunc(time.Duration(m.LeaseMs)*time.Millisecond, func() { s.finish(started, worker.TaskExpired) })
	after, state := started.runs, worker.TaskDone
	if s.faults.FailAll {
		after, state = min(after, time.Duration(s.faults.FailAfterMs)*time.Millisecond), worker.TaskFailed
	}
	started.finish = time.AfterFunc(after, func() { s.finish(started, state) })
	s.recordUsage()
	return s.status(mine), nil
}

func (s *Server) finish(t *task, state worker.TaskState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(t, state)
}

// end makes a task final; the caller holds the lock.
func (s *Server) end(t *task, state worker.TaskState) {
	if t.State.Ended() {
		return
	}
	t.lease.Stop()
	t.finish.Stop()
	t.State, t.ended = state, time.Now()
	if state == worker.TaskDone {
		t.ProgressMs = t.runs.Milliseconds()
	}
	close(t.done)
	s.recordUsage()
}

func (s *Server) renew(m worker.Renew) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.fence(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	now := time.Now()
	for id, held := range s.tasks {
		if held.State.Ended() && now.Sub(held.ended) > keepEnded {
			s.past = append(s.past, held.run())
			delete(s.tasks, id)
		}
	}
	mine := func(t *task) bool { return t.DataCentre == m.DataCentre && slices.Contains(m.Jobs, t.Job) }
	for _, held := range s.tasks {
		if mine(held) && !held.State.Ended() {
			held.lease.Reset(time.Duration(m.LeaseMs) * time.Millisecond)
		}
	}
	return s.status(mine), nil
}

func (s *Server) release(m worker.Release) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.fence(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	if held, found := s.reservations[m.Reservation]; found {
		held.timer.Stop()
		delete(s.reservations, m.Reservation)
	}
	return s.status(func(*task) bool { return false }), nil
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	var m worker.Stop
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stopping, refused := s.beginStop(m)
	if refused != nil {
		answer(w, http.StatusConflict, refused)
		return
	}
	limit := time.NewTimer(time.Duration(m.WithinMs) * time.Millisecond)
	defer limit.Stop()
	for _, held := range stopping {
		select {
		case <-held.done:
			continue
		case <-limit.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	s.mu.Lock()
	status := s.status(func(t *task) bool { return t.Job == m.Job })
	s.mu.Unlock()
	answer(w, http.StatusOK, status)
}

// beginStop kills the tasks of a job or starts their checkpoints, and returns those that are not ended yet. Reservations
// of the job end in either mode.
func (s *Server) beginStop(m worker.Stop) ([]*task, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.fence(m.DataCentre, m.Token); refused != nil {
		return nil, refused
	}
	for id, held := range s.reservations {
		if held.Job == m.Job {
			held.timer.Stop()
			delete(s.reservations, id)
		}
	}
	var stopping []*task
	for _, held := range s.tasks {
		switch {
		case held.Job != m.Job || held.State.Ended():
		case m.Mode == worker.ModeKill:
			s.end(held, worker.TaskKilled)
		default:
			s.checkpoint(held)
			stopping = append(stopping, held)
		}
	}
	return stopping, nil
}

// checkpoint stops the work at once and ends the task when the checkpoint is written.
func (s *Server) checkpoint(t *task) {
	if t.State == worker.TaskStopping {
		return
	}
	t.State = worker.TaskStopping
	t.finish.Stop()
	kept := time.Since(t.started)
	takes := s.Checkpoint
	if s.faults.CheckpointMs > 0 {
		takes = time.Duration(s.faults.CheckpointMs) * time.Millisecond
	}
	t.finish = time.AfterFunc(takes, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.State == worker.TaskStopping {
			t.ProgressMs = kept.Milliseconds()
			s.end(t, worker.TaskCheckpointed)
		}
	})
}

// Token returns the highest token seen for a data centre.
func (s *Server) Token(dc model.DataCentreID) model.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[dc]
}
