package fakewk

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

// reserve makes a reservation, or renews the one with the same ID.
func (s *Server) reserve(m worker.Reserve) (worker.Reserved, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkToken(m.DataCentre, m.Token); refused != nil {
		return worker.Reserved{}, refused
	}
	ttl := time.Duration(m.TTLMs) * time.Millisecond
	held, found := s.reservations[m.Reservation]
	if !found {
		if s.faults.Refuse {
			return worker.Reserved{}, refusal(worker.RefusedOther, "reservations are refused")
		}
		if free := s.free(); m.Accelerators > free {
			return worker.Reserved{}, refusal(worker.RefusedFull, "%d accelerators asked, %d free", m.Accelerators, free)
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

// start runs a task on its reservation, or on free accelerators without one. It is idempotent by task ID.
func (s *Server) start(m worker.Start) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkToken(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	ofJob := func(t *task) bool { return t.Job == m.Job }
	if _, found := s.tasks[m.Task]; found {
		return s.status(ofJob), nil
	}
	accelerators := m.Accelerators
	if held, found := s.reservations[m.Reservation]; found && time.Now().Before(held.expires) {
		held.timer.Stop()
		delete(s.reservations, m.Reservation)
		accelerators = held.Accelerators
	} else if m.Reservation != "" {
		return worker.Status{}, refusal(worker.RefusedNoReservation, "reservation %q does not exist or has expired", m.Reservation)
	} else if free := s.free(); accelerators > free {
		return worker.Status{}, refusal(worker.RefusedFull, "%d accelerators asked, %d free", accelerators, free)
	}
	started := &task{
		Task: worker.Task{
			Task: m.Task, Job: m.Job, DataCentre: m.DataCentre, State: worker.TaskRunning, Accelerators: accelerators,
		},
		started: time.Now(), runTime: time.Duration(m.RunMs) * time.Millisecond, done: make(chan struct{}),
	}
	s.tasks[m.Task] = started
	started.leaseTimer = time.AfterFunc(time.Duration(m.LeaseMs)*time.Millisecond, func() { s.finish(started, worker.TaskExpired) })
	endAfter, endState := started.runTime, worker.TaskDone
	if s.faults.FailAll {
		endAfter, endState = min(endAfter, time.Duration(s.faults.FailAfterMs)*time.Millisecond), worker.TaskFailed
	}
	started.finish = time.AfterFunc(endAfter, func() { s.finish(started, endState) })
	s.recordUsage()
	return s.status(ofJob), nil
}

// finish calls endTask for timers, which do not hold s.mu.
func (s *Server) finish(t *task, state worker.TaskState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTask(t, state)
}

// endTask sets the final state of a task unless it has one; the caller holds s.mu.
func (s *Server) endTask(t *task, state worker.TaskState) {
	if t.State.Ended() {
		return
	}
	t.leaseTimer.Stop()
	t.finish.Stop()
	t.State, t.ended = state, time.Now()
	if state == worker.TaskDone {
		t.ProgressMs = t.runTime.Milliseconds()
	}
	close(t.done)
	s.recordUsage()
}

// renew extends the leases of the running tasks of jobs, and drops ended tasks after endedRetention.
func (s *Server) renew(m worker.Renew) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkToken(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	now := time.Now()
	for id, held := range s.tasks {
		if held.State.Ended() && now.Sub(held.ended) > endedRetention {
			s.formerRuns = append(s.formerRuns, held.run())
			delete(s.tasks, id)
		}
	}
	renewed := func(t *task) bool { return t.DataCentre == m.DataCentre && slices.Contains(m.Jobs, t.Job) }
	for _, held := range s.tasks {
		if renewed(held) && !held.State.Ended() {
			held.leaseTimer.Reset(time.Duration(m.LeaseMs) * time.Millisecond)
		}
	}
	return s.status(renewed), nil
}

func (s *Server) release(m worker.Release) (worker.Status, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkToken(m.DataCentre, m.Token); refused != nil {
		return worker.Status{}, refused
	}
	if held, found := s.reservations[m.Reservation]; found {
		held.timer.Stop()
		delete(s.reservations, m.Reservation)
	}
	return s.status(func(*task) bool { return false }), nil
}

// serveStop stops the tasks of a job and answers when they have ended or the message's time limit has passed.
func (s *Server) serveStop(w http.ResponseWriter, r *http.Request) {
	var m worker.Stop
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stopping, refused := s.beginStop(m)
	if refused != nil {
		writeJSON(w, http.StatusConflict, refused)
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
	writeJSON(w, http.StatusOK, status)
}

// beginStop kills the tasks of a job or starts their checkpoints, and returns those with a checkpoint in progress. It ends the
// reservations of the job in either mode.
func (s *Server) beginStop(m worker.Stop) ([]*task, *worker.RefusedError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkToken(m.DataCentre, m.Token); refused != nil {
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
			s.endTask(held, worker.TaskKilled)
		default:
			s.checkpointTask(held)
			stopping = append(stopping, held)
		}
	}
	return stopping, nil
}

// checkpointTask stops the work at once and ends the task when the checkpoint has been written; the caller holds s.mu.
func (s *Server) checkpointTask(t *task) {
	if t.State == worker.TaskStopping {
		return
	}
	t.State = worker.TaskStopping
	t.finish.Stop()
	progress := time.Since(t.started)
	duration := s.CheckpointTime
	if s.faults.CheckpointMs > 0 {
		duration = time.Duration(s.faults.CheckpointMs) * time.Millisecond
	}
	t.finish = time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if t.State == worker.TaskStopping {
			t.ProgressMs = progress.Milliseconds()
			s.endTask(t, worker.TaskCheckpointed)
		}
	})
}

// Token returns the highest fencing token seen for a data centre.
func (s *Server) Token(dc model.DataCentreID) model.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[dc]
}
