package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	crowdClients = 20 // at each instance
	crowdTime    = 20 * time.Second
	crowdBody    = 262_000 // bytes; limits.max_body_bytes is 262,144
	crowdPause   = 50 * time.Millisecond
	faultEnds    = 3 // ends of a machine's processes that count, by the rule Fault
	faultNodes   = 2 // machines that count, by the same rule
)

// crowd lets a small crowd of clients with a valid key send whole bodies of legal size, the elements of whose list of steps are numbers, beside
// ordinary jobs. Without the disruption the crowd is absent.
func crowd(ctx context.Context, opts *options, r *record) error {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, opts, r)
	if err != nil {
		cancel()
		return err
	}
	defer c.close()
	defer cancel()
	for i := range 12 {
		if err := c.addMinion("a", fmt.Sprintf("r%d", i/6)); err != nil {
			return err
		}
	}
	if err := c.start(3); err != nil {
		return err
	}
	c.group.Go(c.limitMemory)
	callers := newClient(c)
	ordinary := []byte(`{"spec":"x","steps":[{"count":2,"cpu":8000,"mem_mb":1000,"gpu":1,"estimate_ms":1000}]}`)
	callers.submit(ordinary)
	var group sync.WaitGroup
	if opts.trouble {
		body := append([]byte(`{"spec":"x","steps":[0`), bytes.Repeat([]byte(",0"), crowdBody/2-16)...)
		body = append(body, "]}"...)
		r.note("crowd: %d clients at each instance send bodies of %d bytes: %.40s ...", crowdClients, len(body), body)
		for _, n := range c.nodes {
			for range crowdClients {
				group.Go(func() { c.press(n, body) })
			}
		}
	}
	began := time.Now()
	for time.Since(began) < crowdTime {
		callers.submit(ordinary)
		sleep(ctx, time.Second)
	}
	group.Wait()
	nodes := 0
	for _, n := range c.nodes {
		n.mu.Lock()
		r.note("the process of %s ended %d times", n.name, n.exits)
		if n.exits >= faultEnds {
			nodes++
		}
		n.mu.Unlock()
	}
	if nodes >= faultNodes {
		r.violation("Fault: on %d of %d machines processes ended %d times or more, over their memory", nodes, len(c.nodes), faultEnds)
	}
	return nil
}

// press sends a body again and again until crowdTime is over.
func (c *cluster) press(n *node, body []byte) {
	ctx, cancel := context.WithTimeout(c.ctx, crowdTime)
	defer cancel()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	answers := map[int]int{}
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+fakepl.QueuePrefix+newID(), bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Host = fakepl.Host
		req.Header.Set("Authorization", "Bearer "+fakepl.APIKey)
		req.Header.Set("Content-Type", "application/json")
		res, err := transport.RoundTrip(req)
		if err != nil {
			answers[0]++
		} else {
			answers[res.StatusCode]++
			_ = res.Body.Close()
		}
		sleep(ctx, crowdPause)
	}
	c.record.note("crowd at %s: answers by status %v (0: none)", n.name, answers)
}
