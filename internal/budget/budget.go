package budget

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	// SmallBody is the largest body that may use the part for small bodies. An ordinary submission has some KB.
	SmallBody Bytes = 16 << 10
	// smallShare is the divisor of the part for small bodies.
	smallShare = 4
	// StallTime is how long nothing must have arrived of a body that gives way to another. It exceeds the pauses of a link that loses
	// single packets.
	StallTime = 500 * time.Millisecond
	// evictWait bounds the wait for the memory of bodies that give way, whose readers may have to wait for the processor.
	evictWait = time.Second
)

// FullError reports a body for which the budget has no room. Nothing of it is kept.
type FullError struct{ Size Bytes }

// Error gives the size that did not fit.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for a body of %d bytes at the moment", e.Size)
}

// part is a share of a budget with its own limit.
type part struct {
	size  Bytes
	bytes *semaphore.Weighted
	held  Bytes // by leases; guarded by Budget.mu
}

func newPart(size Bytes) *part { return &part{size: size, bytes: semaphore.NewWeighted(int64(size))} }

// Budget is the memory of a server's bodies. A nil Budget has no limit. It may be used concurrently.
type Budget struct {
	// Now returns the time; set before use.
	Now func() time.Time

	small, large *part

	mu      sync.Mutex // guards reading, and the fields of the leases and parts
	reading map[*Lease]bool
}

// New returns a budget of total bytes, a quarter of which is kept for bodies up to SmallBody.
func New(total Bytes) *Budget {
	small := total / smallShare
	return &Budget{Now: time.Now, small: newPart(small), large: newPart(total - small), reading: map[*Lease]bool{}}
}

// Open returns a lease for a body that is about to be read; its holder must call Release. abort ends the read of the body; it is called
// from another goroutine, at most once, and must not block.
func (b *Budget) Open(abort func()) *Lease {
	l := &Lease{budget: b, abort: abort}
	if b != nil {
		l.progress = b.Now()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reading[l] = true
	}
	return l
}

// parts returns the parts that a body of a size may use, the preferred one first.
func (b *Budget) parts(size Bytes) []*part {
	if size <= SmallBody {
		return []*part{b.small, b.large}
	}
	return []*part{b.large}
}

// evict aborts the reads of stalled bodies in a part, those that have stood longest first, until need bytes are free. It aborts none and
// reports false where that is not enough.
func (b *Budget) evict(p *part, need Bytes) bool {
	b.mu.Lock()
	var stalled []*Lease
	before := b.Now().Add(-StallTime)
	for l := range b.reading {
		if l.part == p && l.progress.Before(before) {
			stalled = append(stalled, l)
		}
	}
	slices.SortFunc(stalled, func(x, y *Lease) int { return x.progress.Compare(y.progress) })
	free, count := p.size-p.held, 0
	for ; free < need && count < len(stalled); count++ {
		free += stalled[count].held
	}
	enough := free >= need
	if !enough {
		count = 0
	}
	for _, l := range stalled[:count] {
		l.evicted = true
		delete(b.reading, l)
	}
	b.mu.Unlock()
	for _, l := range stalled[:count] {
		l.abort()
	}
	return enough
}

// Lease is the memory of one body. Its methods are called by the goroutine that reads the body.
type Lease struct {
	budget *Budget
	abort  func()

	// The fields are guarded by budget.mu; part and held are changed by the holder alone.
	part     *part
	held     Bytes
	progress time.Time // when bytes of the body last arrived
	evicted  bool
}

// Grow makes the lease hold at least size bytes. It returns a FullError if there is no room; the lease is unchanged then.
func (l *Lease) Grow(ctx context.Context, size Bytes) error {
	if l.budget == nil || size <= l.held {
		return nil
	}
	parts := l.budget.parts(size)
	for _, p := range parts {
		if p.bytes.TryAcquire(int64(l.need(p, size))) {
			l.move(p, size)
			return nil
		}
	}
	for _, p := range parts {
		if l.acquireEvicting(ctx, p, size) {
			return nil
		}
	}
	return &FullError{Size: size}
}

// acquireEvicting makes the lease hold size bytes of a part in place of stalled bodies, and reports whether it does.
func (l *Lease) acquireEvicting(ctx context.Context, p *part, size Bytes) bool {
	need := l.need(p, size)
	if need > p.size || !l.budget.evict(p, need) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, evictWait)
	defer cancel()
	if p.bytes.Acquire(ctx, int64(need)) != nil {
		return false
	}
	l.move(p, size)
	return true
}

// need returns the bytes that a part must still give for the lease to hold size bytes of it.
func (l *Lease) need(p *part, size Bytes) Bytes {
	if p == l.part {
		return size - l.held
	}
	return size
}

// move records that the lease holds size bytes of a part, and returns what it held of another.
func (l *Lease) move(p *part, size Bytes) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.part != p {
		l.leavePart()
	}
	p.held += size - l.held
	l.part, l.held = p, size
}

// leavePart returns what the lease holds; budget.mu is held.
func (l *Lease) leavePart() {
	if l.part == nil {
		return
	}
	l.part.held -= l.held
	l.part.bytes.Release(int64(l.held))
	l.part, l.held = nil, 0
}

// Held returns the bytes that the lease holds.
func (l *Lease) Held() Bytes { return l.held }

// Progress records that bytes of the body have arrived. It reports false if the body had to give way.
func (l *Lease) Progress() bool {
	if l.budget == nil {
		return true
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.progress = l.budget.Now()
	return !l.evicted
}

// Finish records that the whole body has been read; it no longer gives way. It reports false if it already had to.
func (l *Lease) Finish() bool {
	if l.budget == nil {
		return true
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	delete(l.budget.reading, l)
	return !l.evicted
}

// Evicted reports whether the read was aborted for another body.
func (l *Lease) Evicted() bool {
	if l.budget == nil {
		return false
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.evicted
}

// Release returns the memory.
func (l *Lease) Release() {
	if l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	delete(l.budget.reading, l)
	l.leavePart()
}
