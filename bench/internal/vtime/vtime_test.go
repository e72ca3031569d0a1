package vtime_test

import (
	"testing"
	"time"

	"peridotgw.example/peridotgw/bench/internal/vtime"
)

// Guards against a Go release whose synctest does not accept an empty testing.T, and against a benchmark that waits in
// real time.
func TestRun(t *testing.T) {
	began, slept := time.Now(), time.Duration(0)
	vtime.Run(func() {
		start := time.Now()
		time.Sleep(time.Hour)
		slept = time.Since(start)
	})
	if slept != time.Hour || time.Since(began) > time.Minute {
		t.Errorf("slept %v of virtual time in %v, want 1h at once", slept, time.Since(began))
	}
}
