package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// advisor is the advice service of a queue's policy. It handles one call at a time and answers after decision and perWorker for each minion
// named. Its tickets are valid for valid from the answer.
type advisor struct {
	rec                        *record
	decision, perWorker, valid time.Duration
	allows                     func(id string) bool

	turn sync.Mutex // held while a call is handled

	mu      sync.Mutex           // guards the fields below
	tickets map[string]time.Time // by step, minion and ticket, when it expires
	calls   int
}

// ServeHTTP answers which of the minions that a call names may run a step.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err != nil || json.Unmarshal(body, &call) != nil || len(call.Workers) > 100 {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	a.turn.Lock()
	time.Sleep(a.decision + time.Duration(len(call.Workers))*a.perWorker)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	allowed := [][]string{}
	for _, id := range call.Workers {
		if a.allows(id) {
			ticket := fmt.Sprintf("t-%d-%s", a.calls, id)
			a.tickets[call.Step+" "+id+" "+ticket] = time.Now().Add(a.valid)
			allowed = append(allowed, []string{id, ticket})
		}
	}
	a.rec.add("advice for step %s: asked for %d minions, %d allowed, tickets valid for %s", call.Step, len(call.Workers), len(allowed), a.valid)
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": a.valid.Milliseconds()})
}

// permits reports whether a ticket holds for a step on a minion now.
func (a *advisor) permits(step, id, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, found := a.tickets[step+" "+id+" "+ticket]
	return found && time.Now().Before(until)
}
