package vtime

import (
	"testing"
	"testing/synctest"
)

// Run calls fn with a virtual clock, which advances only while fn and all goroutines that it started are blocked. It
// returns when all of them have ended.
func Run(fn func()) {
	// Package synctest needs a testing.T only to report failures, and a benchmark reports none.
	synctest.Test(new(testing.T), func(*testing.T) { fn() })
}
