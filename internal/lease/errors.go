package lease

import (
	"fmt"

	"peridotgw.example/peridotgw/model"
)

// HeldError reports that another process holds the key.
type HeldError struct {
	Key string
	// Holder is the instance that holds the key; it may be an earlier process of this one. It is empty if Acquire gave up because the
	// key kept changing.
	Holder model.InstanceID
}

// Error names the key and its holder.
func (e *HeldError) Error() string {
	return fmt.Sprintf("key %q is held by instance %q", e.Key, e.Holder)
}

// NoLeaseError reports that the instance has no valid lease and so cannot own the key.
type NoLeaseError struct{ Key string }

// Error names the key.
func (e *NoLeaseError) Error() string { return fmt.Sprintf("no valid lease to hold key %q", e.Key) }

// InDoubtError reports a write of an ownership key whose result is unknown. If the write took effect, the Holder releases the key in
// the background.
type InDoubtError struct {
	Key string
	// Cause is the error of the last write.
	Cause error
}

// Error names the key and the cause.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("writing key %q: result unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Cause }
