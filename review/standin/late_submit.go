package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lateSubmit plays the case of a job that is handed in while the store is down, and cancelled after the store's return: the call that
// stores the job had no answer and is executed seconds later.
func lateSubmit(c *cluster, trouble bool) error {
	const (
		job      = "5c0e7a21d94b36f8"
		downFor  = 4500 * time.Millisecond
		lateBy   = 5900 * time.Millisecond // within the 6 s of a late answer
		early    = 1500 * time.Millisecond // calls of this time after the submission aren't executed at all
		cancelMs = 3 * time.Second
	)
	var down atomic.Bool
	c.store.silent = down.Load
	var mu sync.Mutex
	var storedAt, sentAt time.Time
	c.store.lateBy = func(txn txnBody) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		for _, w := range txn.Writes {
			if w.Key == "job/"+job && time.Since(sentAt) > early {
				return lateBy
			}
		}
		return 0
	}
	c.store.onTxn = func(txn txnBody, status int, late bool) {
		for _, w := range txn.Writes {
			if strings.Contains(w.Key, job) {
				c.rec.add("store: transaction with %s, late %t: %d", w.Key, late, status)
				mu.Lock()
				if w.Key == "job/"+job && status == http.StatusOK {
					storedAt = time.Now()
				}
				mu.Unlock()
			}
		}
	}
	if err := c.addMinions(6, func(string, int64) (time.Duration, string) { return 4 * time.Second, "done" }); err != nil {
		return err
	}
	if err := c.startMachines(3); err != nil {
		return err
	}
	returned := make(chan struct{})
	if trouble {
		c.rec.say("the store is down, silent, for %v", downFor)
		down.Store(true)
		time.AfterFunc(downFor, func() {
			down.Store(false)
			c.rec.say("the store is back")
			close(returned)
		})
		time.Sleep(1500 * time.Millisecond)
	} else {
		close(returned)
	}
	mu.Lock()
	sentAt = time.Now()
	mu.Unlock()
	body := `{"spec":"(text)","steps":[{"count":4,"cpu":7500,"mem_mb":39000,"gpu":1,"estimate_ms":4000}]}`
	status, _ := c.call(c.machines[0], http.MethodPost, prefixes[2]+job, body)
	c.rec.say("a job is handed in: answer %d", status)
	<-returned
	time.Sleep(500 * time.Millisecond)
	var acked time.Time
	for attempt := range 10 {
		if status, _ = c.call(c.machines[attempt%3], http.MethodDelete, prefixes[2]+job, ""); status == http.StatusOK || status == http.StatusGone {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		return errors.New("the cancel has no acknowledgement")
	}
	c.rec.say("the job is cancelled: answer %d", status)
	time.Sleep(15 * time.Second)
	late, ran := 0, 0
	for _, m := range c.minions {
		started, finished, _ := m.copies()
		for _, s := range started {
			if s.sent.Sub(acked) > cancelMs {
				late++
			}
		}
		for _, e := range finished {
			if e.how == "done" {
				ran++
			}
		}
	}
	mu.Lock()
	if !storedAt.IsZero() {
		c.rec.say("the job was stored %.2f s after the acknowledgement of its cancelling", storedAt.Sub(acked).Seconds())
	}
	mu.Unlock()
	c.rec.say("%d tasks were started later than %v after the acknowledgement; %d tasks ended done", late, cancelMs, ran)
	if late > 0 {
		return fmt.Errorf("UNASKED: %w", errBroken)
	}
	return nil
}
