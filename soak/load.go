package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	callLimit   = 3 * time.Second
	submitTries = 4
	pollEvery   = 400 * time.Millisecond
	cancelShare = 0.1
	estimateMs  = 1500
)

// submitted is what a caller knows of its job.
type submitted struct {
	id        string
	tasks     int
	accepted  bool
	rejected  bool // every try was answered with a refusal
	cancelled bool
	state     string
}

// callers submit jobs, ask for them and cancel some.
type callers struct {
	nodes  []*node
	client *http.Client
	// announce is called with each job that is a gang, before it is submitted.
	announce func(id string, tasks int)

	mu         sync.Mutex
	jobs       []*submitted
	violations []string
}

func (c *callers) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *callers) call(ctx context.Context, r *rand.Rand, method, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	n := c.nodes[r.IntN(len(c.nodes))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+fakepl.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = fakepl.Host
	req.Header.Set("Authorization", "Bearer "+fakepl.APIKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }() //nolint:errcheck // The body has been read or the call has failed.
	content, err := io.ReadAll(res.Body)
	return res.StatusCode, content, err
}

// submit hands one job in, at other nodes again after a refusal or without an answer.
func (c *callers) submit(ctx context.Context, r *rand.Rand) *submitted {
	j := &submitted{id: fmt.Sprintf("%016x", r.Uint64()), tasks: 1 + r.IntN(4), rejected: true}
	gang := r.IntN(3) == 0
	if gang {
		c.announce(j.id, j.tasks)
	}
	body := fakepl.Job(j.tasks, 1+r.IntN(4), gang, estimateMs)
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	for range submitTries {
		status, _, err := c.call(ctx, r, http.MethodPost, j.id, body)
		c.mu.Lock()
		j.accepted = j.accepted || err == nil && status == http.StatusOK
		j.rejected = j.rejected && err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		c.mu.Unlock()
		if j.accepted {
			return j
		}
		time.Sleep(pollEvery)
	}
	return j
}

// follow asks for a job until it is over, and cancels some.
func (c *callers) follow(ctx context.Context, r *rand.Rand, j *submitted) {
	cancelAfter := -1
	if r.Float64() < cancelShare {
		cancelAfter = r.IntN(5)
	}
	for polls := 0; ctx.Err() == nil; polls++ {
		time.Sleep(pollEvery)
		if polls == cancelAfter {
			if status, _, err := c.call(ctx, r, http.MethodDelete, j.id, nil); err == nil && status == http.StatusOK {
				c.mu.Lock()
				j.cancelled = true
				c.mu.Unlock()
			} else {
				cancelAfter++
			}
		}
		status, content, err := c.call(ctx, r, http.MethodGet, j.id, nil)
		if err != nil || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			continue
		}
		if c.note(j, status, content) {
			return
		}
	}
}

// note takes in what a node says of a job, and reports whether the job is over.
func (c *callers) note(j *submitted, status int, content []byte) bool {
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(content, &answer) != nil {
		c.violate("accepted job %s was answered %d", j.id, status)
		return true
	}
	c.mu.Lock()
	j.state = answer.State
	cancelled := j.cancelled
	c.mu.Unlock()
	switch answer.State {
	case "completed":
		return true
	case "cancelled":
		if !cancelled {
			c.violate("job %s is shown as cancelled and nobody cancelled it", j.id)
		}
		return true
	case "failed":
		c.violate("job %s is shown as failed and no task fails", j.id)
		return true
	}
	return false
}
