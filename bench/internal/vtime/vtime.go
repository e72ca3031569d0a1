package vtime

import (
	"testing"
	"testing/synctest"
)

// Run calls fn with a clock of its own, which moves only while all goroutines that fn started wait. It returns when all of
// them have ended.
func Run(fn func()) {
	// The bubble of package synctest needs a test only to report failures, of which a benchmark has none.
	synctest.Test(new(testing.T), func(*testing.T) { fn() })
}
