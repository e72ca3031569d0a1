package kv

import (
	"context"
	"fmt"
	"time"
)

// Revision is a value of the store's change counter.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// MaxTxnEntries is the largest number of conditions, writes and removals in one transaction, counted together.
const MaxTxnEntries = 32

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Created  Revision // of its creation
	Lease    LeaseID  // the key is removed when this lease ends; 0 for none
}

// Event is a change of one key; for a removal only Key and Revision are set.
type Event struct {
	Item
	Removed bool
}

// Expect is a condition of a transaction; revision 0 means that the key must not exist.
type Expect struct {
	Key      string
	Revision Revision
}

// Write sets the value of a key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID // to attach the key to; 0 for none
}

// Txn is an atomic conditional change with at most MaxTxnEntries entries.
type Txn struct {
	Expect []Expect
	Writes []Write
	Remove []string
}

// Page is a part of the items under a prefix, ordered by key; the next page starts after its last key.
type Page struct {
	Items []Item
	More  bool     // further items exist
	At    Revision // revision of the store when it answered
}

// Changes are the events after a revision, in order.
type Changes struct {
	Events []Event
	At     Revision // revision from which the next watch continues
}

// Store holds the calls to the platform's store; all may be used concurrently.
// Errors are RefusedError, InDoubtError, ConflictError, CompactedError or NoLeaseError.
type Store struct {
	Get func(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns the items under prefix whose keys come after the key after.
	Range func(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns as soon as there is an event after a revision, or without events once wait has passed.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Txn executes a transaction and returns its revision.
	Txn func(ctx context.Context, txn Txn) (Revision, error)
	// Grant creates a lease and returns the TTL that the store applies, which may differ from ttl.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew extends a lease and returns its TTL.
	Renew func(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease; its keys are removed.
	Revoke func(ctx context.Context, id LeaseID) error
}

// RefusedError reports a call that was certainly not executed.
type RefusedError struct {
	Op     string
	Status int // HTTP status; 0 when no connection was made
	Cause  error
}

// Error names the call and the cause.
func (e *RefusedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("store refused %s: %v", e.Op, e.Cause)
	}
	return fmt.Sprintf("store refused %s with status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// InDoubtError reports a call whose result is unknown: it may have been executed, or may be executed later.
type InDoubtError struct {
	Op    string
	Cause error
}

// Error names the call and the cause.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("result of %s is unknown: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	Items []Item // current items of the condition keys that exist
}

// Error gives the number of existing items.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions of the transaction do not hold (%d existing items)", len(e.Items))
}

// Item returns the item with a key, if it exists.
func (e *ConflictError) Item(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// TooLargeError reports an answer that is larger than an instance reads.
type TooLargeError struct {
	Op    string
	Limit int // in bytes
}

// Error names the call and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer to %s has more than %d bytes", e.Op, e.Limit)
}

// CompactedError reports a watch from a revision after which the store has dropped history.
type CompactedError struct{ After Revision }

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after revision %d is gone", e.After)
}

// NoLeaseError reports a lease that no longer exists.
type NoLeaseError struct{ ID LeaseID }

// Error names the lease.
func (e *NoLeaseError) Error() string { return fmt.Sprintf("lease %d does not exist", e.ID) }
