package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	callDeadline = 3 * time.Second
	retries      = 4
)

// client sends the calls of clients, each to the next instance that is ready, and writes them to the record.
type client struct {
	cluster *cluster
	http    *http.Client
	key     string // API key
	prefix  string // of the queue

	mu   sync.Mutex // guards the fields below
	next int
	jobs []*job
}

// job is a job as its client knows it.
type job struct {
	id       string
	sentAt   time.Time
	accepted bool
	acceptAt time.Time
	refused  bool // all attempts were rejected
}

func newClient(c *cluster) *client {
	return &client{cluster: c, http: &http.Client{Timeout: callDeadline}, key: fakepl.APIKey, prefix: fakepl.QueuePrefix}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes one call at the next instance. The status is 0 without an answer.
func (c *client) call(method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	c.mu.Lock()
	n := c.cluster.nodes[c.next%len(c.cluster.nodes)]
	c.next++
	c.mu.Unlock()
	return c.callAt(n, method, path, body)
}

func (c *client) callAt(n *node, method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	req, err := http.NewRequest(method, "http://"+n.front+c.prefix+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	req.Host = fakepl.Host
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(callDeadline.Milliseconds())))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		c.cluster.record.note("%s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, nil, 0
	}
	defer func() { _ = res.Body.Close() }()
	answer, err = io.ReadAll(res.Body)
	if err != nil {
		c.cluster.record.note("%s %s at %s: no complete answer (%v)", method, path, n.name, err)
		return 0, nil, 0
	}
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil {
		seconds = 0
	}
	c.cluster.record.note("%s %s%s at %s: %d %s", method, c.prefix, path, n.name, res.StatusCode, answer)
	return res.StatusCode, answer, time.Duration(seconds) * time.Second
}

// submit hands a job in, and repeats the call as clients do.
func (c *client) submit(body []byte) *job {
	j := &job{id: newID(), sentAt: time.Now(), refused: true}
	c.cluster.record.note("submit %s: %.300s", j.id, body)
	for range 1 + retries {
		status, _, retryAfter := c.call(http.MethodPost, j.id, body)
		switch {
		case status/100 == 2:
			j.accepted, j.refused, j.acceptAt = true, false, time.Now()
		case status == 429 || status == 503:
		case status/100 == 4:
			return c.add(j)
		default:
			j.refused = false
		}
		if j.accepted || !sleep(c.cluster.ctx, max(retryAfter, 100*time.Millisecond)) {
			break
		}
	}
	return c.add(j)
}

func (c *client) add(j *job) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
	return j
}

// state asks for the state of a job, and again at other instances while there is no answer. It returns "gone" for a job that doesn't exist, and an empty
// text if no instance answers.
func (c *client) state(id string) string {
	for range len(c.cluster.nodes) {
		status, answer, _ := c.call(http.MethodGet, id, nil)
		var state struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusGone:
			return "gone"
		case status == http.StatusOK && json.Unmarshal(answer, &state) == nil:
			return state.State
		}
	}
	return ""
}
