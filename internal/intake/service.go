package intake

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"peridotgw.example/peridotgw/internal/bucket"
	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/outage"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const (
	attemptTimeout = 600 * time.Millisecond
	retryAfter     = time.Second
	// replyMargin is the part of the caller's time that is kept for sending the answer. It is at most half of it.
	replyMargin = 250 * time.Millisecond
	// minCallTime is the time of a caller below which its change is not attempted.
	minCallTime = 100 * time.Millisecond
	// readReplyMargin replaces it for reads, which need no certainty about their result. It is at most a quarter of the caller's time.
	readReplyMargin = 100 * time.Millisecond
	ownerTimeout    = 400 * time.Millisecond
	maxCachedJobs   = 20_000 // in each of the caches of a Service; a full one is emptied
)

// Owner queries the instance that schedules, which answers from memory.
type Owner struct {
	// State returns a job's state; found is false when the owner does not know the job.
	State func(ctx context.Context, id model.JobID) (state work.State, found bool, err error)
	// Pending returns for each queue the number of jobs none of whose tasks has started.
	Pending func(ctx context.Context) (map[work.QueueName]int, error)
	// Reserve keeps memory for a job that is about to be stored; nil if there is no limit. Errors are memory.FullError or
	// memory.TooLargeError, or others if the owner does not answer.
	Reserve func(ctx context.Context, id model.JobID, size budget.Bytes) error
}

// Service handles the job calls of one instance. Fields are set before use; the methods may be used concurrently.
type Service struct {
	Store *kv.Store
	Owner Owner
	Log   zerolog.Logger
	Now   func() time.Time // wall-clock time
	// Relay makes one attempt to apply a change through another instance; nil for none. Its errors are those of Apply.
	Relay func(ctx context.Context, change Change) error
	// Refused is called with the kind and the reason of each call that is refused; nil for none.
	Refused func(call, reason string)
	// Announce is called with each change that this instance has stored, so that the instance that schedules need not wait for its
	// watch; nil for none. It must not block.
	Announce func(Announcement)
	// MaxCalls bounds the changes of callers, those of other instances, and the look-ups that are worked on at a time, each by itself; 0 for
	// no limit. Further ones are refused.
	MaxCalls int

	changes callLimit // of callers
	relayed callLimit // changes of other instances
	lookUps callLimit

	gate   outage.Gate // of changes to the store
	detour outage.Detour

	counting singleflight.Group // the count of pending jobs in flight

	mu            sync.Mutex // guards the fields below; not held during calls
	finalStates   map[model.JobID]work.State
	accepted      map[model.JobID]time.Time // when this instance accepted a job
	doubtful      map[model.JobID]bool      // jobs that were sent to the store and may be stored
	pendingCounts map[work.QueueName]int    // last result of Owner.Pending or its replacement from the store
	countedAt     time.Time
	unasked       unasked
	barLease      *bucket.Lease[kv.LeaseID] // of the cancellations of jobs that are not stored; nil before the first one
}

// reserveReply returns a context that ends before the caller's time, so that the answer arrives within it.
func reserveReply(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline.Add(-min(readReplyMargin, time.Until(deadline)/4)))
}
