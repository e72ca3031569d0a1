package store

import "fmt"

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct {
	Key      string
	Revision Revision
}

// Error names the key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("key %q does not exist", e.Key) }

// ConflictError reports a compare-and-swap whose expected version is not the current one.
type ConflictError struct {
	Key  string
	Want Version
	// Current is the entry that the service has now; its version is 0 when the key does not exist.
	Current Entry
}

// Error names the key and the versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has version %d, not %d", e.Key, e.Current.Version, e.Want)
}

// UnavailableError reports a call without a usable answer.
type UnavailableError struct {
	Op, Key string
	// MaybeApplied is true when a write may have taken effect. False proves that it did not and will not: the call was not sent,
	// or the service refused it before it applied anything.
	MaybeApplied bool
	// Sent is false when the call was not sent, for example with an OpenError, a TooLargeError, or a context that had ended.
	Sent  bool
	Cause error
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store call %s %q: %v", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StaleError reports a read that is older than the revision which the caller asked for.
type StaleError struct {
	Key       string
	Got, Want Revision
}

// Error names the key and the revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("read of %q has revision %d, older than %d", e.Key, e.Got, e.Want)
}

// StatusError reports an HTTP status that the interface does not define.
type StatusError struct {
	Status int
	Body   string
}

// Error states the status and the start of the body.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200s", e.Status, e.Body) }

// TooLargeError is the cause of an UnavailableError for a value that the service cannot store; a retry does not help.
type TooLargeError struct {
	Key   string
	Bytes int
}

// Error states the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %d bytes for %q is larger than %d", e.Bytes, e.Key, MaxValueBytes)
}
