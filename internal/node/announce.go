package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/wire"
)

const (
	procAnnounce wire.Procedure = "/peer/announce"

	announceQueue = 256 // announcements that wait; further ones are dropped
	// announceMemory bounds what the jobs of waiting announcements take; a further one is dropped.
	announceMemory  budget.Bytes = 1 << 20
	announceBatch                = 32 // announcements in one call
	announceTimeout              = 400 * time.Millisecond
)

type announceQuery struct {
	Announcements []intake.Announcement `cbor:"1,keyasint"`
}

type announceAnswer struct {
	Ownership ownership `cbor:"1,keyasint"`
}

// announcer passes the changes that this instance has stored to the instance that schedules. What it drops or cannot deliver, the
// scheduler learns from its watch. Fields are set before Run; Add may be called from any goroutine.
type announcer struct {
	// Send delivers announcements to the instance that schedules.
	Send  func(ctx context.Context, announcements []intake.Announcement) error
	Count func(result string, announcements int)
	Log   zerolog.Logger

	queue   chan intake.Announcement
	queued  atomic.Int64 // bytes that the jobs of waiting announcements take
	failing bool
}

func newAnnouncer() *announcer {
	return &announcer{queue: make(chan intake.Announcement, announceQueue)}
}

// Add queues an announcement without blocking.
func (a *announcer) Add(announcement intake.Announcement) {
	size := jobSize(announcement)
	if a.queued.Add(size) <= int64(announceMemory) {
		select {
		case a.queue <- announcement:
			return
		default:
		}
	}
	a.queued.Add(-size)
	a.Count("dropped", 1)
}

// jobSize returns the bytes that the job of an announcement takes.
func jobSize(announcement intake.Announcement) int64 {
	if job := announcement.Change.Submit; job != nil {
		return int64(job.Size())
	}
	return 0
}

// Run delivers announcements in order until ctx ends.
func (a *announcer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-a.queue:
			a.deliver(ctx, a.takeBatch(first))
		}
	}
}

// takeBatch returns the first announcement and those that wait behind it.
func (a *announcer) takeBatch(first intake.Announcement) []intake.Announcement {
	batch := []intake.Announcement{first}
	a.queued.Add(-jobSize(first))
	for len(batch) < announceBatch {
		select {
		case next := <-a.queue:
			batch = append(batch, next)
			a.queued.Add(-jobSize(next))
		default:
			return batch
		}
	}
	return batch
}

func (a *announcer) deliver(ctx context.Context, batch []intake.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := a.Send(ctx, batch)
	result := "delivered"
	if err != nil {
		result = "failed"
	}
	a.Count(result, len(batch))
	if failing := err != nil; failing != a.failing {
		a.failing = failing
		a.Log.Info().Err(err).Int("changes", len(batch)).Bool("delivered", !failing).Msg("node: changes announced to the leader")
	}
}

// announceToLeader delivers announcements to the instance that schedules, which may be this one.
func (n *Node) announceToLeader(ctx context.Context, announcements []intake.Announcement) error {
	scheduler := n.chief.Load()
	if scheduler != nil && applyAnnouncements(scheduler, announcements) { //nolint:contextcheck // calls end with the term
		return nil
	}
	_, err := callOwner(ctx, n, procAnnounce, &announceQuery{Announcements: announcements},
		func(a *announceAnswer) ownership { return a.Ownership })
	return err
}

// handleAnnounce answers a peer that announces changes.
func (n *Node) handleAnnounce(_ context.Context, q *announceQuery) (*announceAnswer, error) {
	scheduler := n.chief.Load()
	taken := scheduler != nil && applyAnnouncements(scheduler, q.Announcements) //nolint:contextcheck // calls end with the term
	return &announceAnswer{Ownership: n.ownership(taken)}, nil
}

// applyAnnouncements passes announcements to the scheduler, and reports whether it takes them.
func applyAnnouncements(scheduler *chief.Scheduler, announcements []intake.Announcement) bool {
	for _, a := range announcements {
		var taken bool
		if a.Change.Submit != nil {
			taken = scheduler.AnnounceJob(a.Change.Submit, a.Revision)
		} else {
			taken = scheduler.AnnounceCancel(a.Change.Cancel)
		}
		if !taken {
			return false
		}
	}
	return true
}
