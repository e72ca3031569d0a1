package memory

import (
	"fmt"
	"sync"
	"time"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
)

const (
	// reservationTTL is how long memory is kept for a job that may be stored: longer than its caller and a late write of it take.
	reservationTTL = 15 * time.Second
	// extraShare is the divisor of the limit up to which jobs may take more than what was counted when they were accepted.
	extraShare = 2
)

// FullError reports a job for which there is no memory now.
type FullError struct{ Size, Used, Limit budget.Bytes }

// Error gives the sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for a job of %d bytes: the jobs in hand take %d of %d bytes", e.Size, e.Used, e.Limit)
}

// TooLargeError reports a job that is larger than the memory for all jobs.
type TooLargeError struct{ Size, Limit budget.Bytes }

// Error gives the sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the job takes %d bytes of memory, more than the %d bytes for all jobs", e.Size, e.Limit)
}

// Ledger counts the memory of jobs by id. It may be used concurrently. Fields are set before use.
type Ledger struct {
	// Limit returns the memory that all jobs may take, 0 for no limit; nil for none.
	Limit func() budget.Bytes
	Now   func() clock.Instant

	mu       sync.Mutex // guards the fields below
	jobs     map[model.JobID]budget.Bytes
	reserved map[model.JobID]reservation
	used     budget.Bytes // by jobs and reservations
}

// reservation is the memory for a job that is not known yet.
type reservation struct {
	size  budget.Bytes
	until clock.Instant
}

// Capacity returns the memory that all jobs may take; 0 for no limit.
func (l *Ledger) Capacity() budget.Bytes {
	if l.Limit == nil {
		return 0
	}
	return l.Limit()
}

// Set counts a job with the memory that it takes now, in place of what was counted for it before.
func (l *Ledger) Set(id model.JobID, size budget.Bytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.jobs == nil {
		l.jobs = map[model.JobID]budget.Bytes{}
	}
	l.used += size - l.jobs[id] - l.reserved[id].size
	delete(l.reserved, id)
	l.jobs[id] = size
}

// Remove counts a job no more.
func (l *Ledger) Remove(id model.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= l.jobs[id]
	delete(l.jobs, id)
}

// Reserve keeps memory for a job that is about to be stored. A job that is counted already needs none. Errors are FullError or TooLargeError.
func (l *Ledger) Reserve(id model.JobID, size budget.Bytes) error {
	limit := l.Capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	_, known := l.jobs[id]
	_, reserved := l.reserved[id]
	switch {
	case known, reserved, limit == 0:
		return nil
	case size > limit:
		return &TooLargeError{Size: size, Limit: limit}
	case l.used+size > limit:
		return &FullError{Size: size, Used: l.used, Limit: limit}
	}
	if l.reserved == nil {
		l.reserved = map[model.JobID]reservation{}
	}
	l.reserved[id] = reservation{size: size, until: l.Now().Add(reservationTTL)}
	l.used += size
	return nil
}

// expire ends the reservations of jobs that did not become known.
func (l *Ledger) expire() {
	now := l.Now()
	for id, r := range l.reserved {
		if now >= r.until {
			l.used -= r.size
			delete(l.reserved, id)
		}
	}
}

// FitsExtra reports whether a job may take more than what was counted when it was accepted. A part of the limit is left for further jobs.
func (l *Ledger) FitsExtra(size budget.Bytes) bool {
	limit := l.Capacity()
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit == 0 || l.used+size <= limit/extraShare
}

// Used returns the memory of all jobs and reservations.
func (l *Ledger) Used() budget.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
