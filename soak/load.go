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
	callTimeout    = 3 * time.Second
	submitAttempts = 4
	pollInterval   = 400 * time.Millisecond
	cancelFraction = 0.1
	jobEstimateMs  = 1500
)

// callerJob is a job as its caller knows it.
type callerJob struct {
	id        string
	tasks     int
	accepted  bool
	rejected  bool // every attempt was answered with a refusal
	cancelled bool
	state     string // of the latest answer
}

// callers submit jobs, poll their states and cancel some of them.
type callers struct {
	nodes  []*node
	client *http.Client
	// registerGang is called with each gang job before it is submitted.
	registerGang func(id string, tasks int)

	mu         sync.Mutex // guards the fields below and those of the jobs
	jobs       []*callerJob
	violations []string
}

// recordedViolations returns the violations so far.
func (c *callers) recordedViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// call sends a request about a job to a random instance.
func (c *callers) call(ctx context.Context, random *rand.Rand, method, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n := c.nodes[random.IntN(len(c.nodes))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.frontAddress+fakepl.QueuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = fakepl.Host
	req.Header.Set("Authorization", "Bearer "+fakepl.APIKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }() //nolint:errcheck // The body has been read or the call has failed.
	content, err := io.ReadAll(res.Body)
	return res.StatusCode, content, err
}

// submitJob submits one job and, after a refusal or without an answer, retries at random instances.
func (c *callers) submitJob(ctx context.Context, random *rand.Rand) *callerJob {
	job := &callerJob{id: fmt.Sprintf("%016x", random.Uint64()), tasks: 1 + random.IntN(4), rejected: true}
	gang := random.IntN(3) == 0
	if gang {
		c.registerGang(job.id, job.tasks)
	}
	body := fakepl.Job(job.tasks, 1+random.IntN(4), gang, jobEstimateMs)
	c.mu.Lock()
	c.jobs = append(c.jobs, job)
	c.mu.Unlock()
	for range submitAttempts {
		status, _, err := c.call(ctx, random, http.MethodPost, job.id, body)
		c.mu.Lock()
		job.accepted = job.accepted || err == nil && status == http.StatusOK
		job.rejected = job.rejected && err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		c.mu.Unlock()
		if job.accepted {
			return job
		}
		time.Sleep(pollInterval)
	}
	return job
}

// follow polls a job until it has ended, and cancels a fraction of the jobs.
func (c *callers) follow(ctx context.Context, random *rand.Rand, job *callerJob) {
	cancelAfter := -1
	if random.Float64() < cancelFraction {
		cancelAfter = random.IntN(5)
	}
	for polls := 0; ctx.Err() == nil; polls++ {
		time.Sleep(pollInterval)
		if polls == cancelAfter {
			if status, _, err := c.call(ctx, random, http.MethodDelete, job.id, nil); err == nil && status == http.StatusOK {
				c.mu.Lock()
				job.cancelled = true
				c.mu.Unlock()
			} else {
				cancelAfter++
			}
		}
		status, content, err := c.call(ctx, random, http.MethodGet, job.id, nil)
		if err != nil || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			continue
		}
		if c.recordAnswer(job, status, content) {
			return
		}
	}
}

// recordAnswer records an instance's answer about an accepted job and reports whether polling ends.
func (c *callers) recordAnswer(job *callerJob, status int, content []byte) bool {
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(content, &answer) != nil {
		c.addViolation("accepted job %s was answered %d", job.id, status)
		return true
	}
	c.mu.Lock()
	job.state = answer.State
	cancelled := job.cancelled
	c.mu.Unlock()
	switch answer.State {
	case "completed":
		return true
	case "cancelled":
		if !cancelled {
			c.addViolation("job %s is reported as cancelled, but its caller has not cancelled it", job.id)
		}
		return true
	case "failed":
		c.addViolation("job %s is reported as failed, but no task fails", job.id)
		return true
	}
	return false
}
