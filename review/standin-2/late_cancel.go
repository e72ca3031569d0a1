package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	lateWindow    = 4500 * time.Millisecond // platform_lost of hcmud-sched, for_s
	lateShare     = 0.3                     // of the writes, below its x of 0.35
	lateLeast     = time.Second             // how late, by kinds: 1 to 6 s
	lateMost      = 6 * time.Second
	leaveAfter    = 120 * time.Millisecond // half of judge-check's aim of 250 ms
	cancelAfter   = 300 * time.Millisecond // from the client's leaving to its cancel
	lateJobPause  = 50 * time.Millisecond
	contactTime   = 3 * time.Second // bounds.contact_ms
	cancelBound   = 3 * time.Second // bounds.cancel_ms
	lateObserving = 12 * time.Second
)

// lateCancel lets the store lose answers of writes, and execute these late, while clients hand in jobs. A client without an answer leaves,
// and cancels its job.
func lateCancel(ctx context.Context, opts *options, r *record) error {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, opts, r)
	if err != nil {
		cancel()
		return err
	}
	defer c.close()
	defer cancel()
	for range 12 {
		if err := c.addMinion("a", "r0"); err != nil {
			return err
		}
	}
	cancelled := map[string]time.Time{} // guarded by fleet.mu
	var stable time.Time                // guarded by fleet.mu; from when on the machines are in touch
	c.fleet.onStart = func(_ *minion, task string, number int64) {
		at, found := cancelled[jobOf(task)]
		if found && !stable.IsZero() && time.Now().After(stable) && time.Since(at) > cancelBound {
			r.violation("UNASKED: %s run %d starts %.1f s after the cancelling of its job was acknowledged, %.1f s after the store's disruption",
				task, number, time.Since(at).Seconds(), (contactTime + time.Since(stable)).Seconds())
		}
	}
	if err := c.start(3); err != nil {
		return err
	}
	callers := newClient(c)
	leaving := newClient(c)
	leaving.http = &http.Client{Timeout: leaveAfter}
	body := []byte(`{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":1000}]}`)
	if opts.trouble {
		c.setLate(true)
	}
	for began := time.Now(); time.Since(began) < lateWindow; sleep(ctx, lateJobPause) {
		c.group.Go(func() {
			id := newID()
			if status, _, _ := leaving.call(http.MethodPost, id, body); status != 0 {
				return
			}
			sleep(ctx, cancelAfter)
			for {
				status, _, retryAfter := callers.call(http.MethodDelete, id, nil)
				if status/100 == 2 || status == http.StatusGone {
					c.fleet.mu.Lock()
					cancelled[id] = time.Now()
					c.fleet.mu.Unlock()
					r.note("cancelling of %s acknowledged with %d", id, status)
					return
				}
				if !sleep(ctx, max(retryAfter, 100*time.Millisecond)) {
					return
				}
			}
		})
	}
	c.setLate(false)
	c.fleet.mu.Lock()
	stable = time.Now().Add(contactTime)
	c.fleet.mu.Unlock()
	r.note("the store's disruption has ended")
	sleep(ctx, lateObserving)
	return nil
}

// setLate switches the loss of answers on or off.
func (c *cluster) setLate(on bool) { c.late.Store(on) }

// serveLate serves a call of an instance to the store. While answers are lost, a share of the writes has none, and is executed late.
func (c *cluster) serveLate(w http.ResponseWriter, r *http.Request) {
	if !c.late.Load() || r.URL.Path != fakepl.PathTxn || rand.Float64() >= lateShare {
		c.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	by := lateLeast + rand.N(lateMost-lateLeast)
	time.AfterFunc(by, func() {
		again := httptest.NewRequest(http.MethodPost, fakepl.PathTxn, bytes.NewReader(body))
		result := httptest.NewRecorder()
		c.store.ServeHTTP(result, again)
		c.record.note("store: write without an answer executed %.1f s late: %d", by.Seconds(), result.Code)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
