package lease

import (
	"fmt"

	"peridotgw.example/peridotgw/model"
)

// HeldError reports that another process holds the key.
type HeldError struct {
	Key string
	// Holder is the instance that holds the key; it may be an earlier process of this one.
	Holder model.InstanceID
}

// Error names the key and its holder.
func (e *HeldError) Error() string {
	return fmt.Sprintf("key %q is held by instance %q", e.Key, e.Holder)
}

// InvalidError reports that the instance has no valid lease and so cannot own the key.
type InvalidError struct{ Key string }

// Error names the key.
func (e *InvalidError) Error() string { return fmt.Sprintf("no valid lease to hold key %q", e.Key) }

// DoubtError reports a write of an ownership key whose result is unknown. If the write took effect, the holder releases the key
// in the background.
type DoubtError struct {
	Key string
	// Cause is the error of the last write.
	Cause error
}

// Error names the key and the cause.
func (e *DoubtError) Error() string {
	return fmt.Sprintf("writing key %q: result unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Cause }
