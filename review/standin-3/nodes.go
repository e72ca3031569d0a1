package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const restartDelay = 300 * time.Millisecond

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

// add writes a line with the seconds since the beginning, and returns its text.
func (r *record) add(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.since).Seconds(), text)
	return text
}

// node is one process of the system. It is started again whenever it ends, as the platform does.
type node struct {
	name, binary, settings, front, ready string
	log                                  *os.File

	mu      sync.Mutex
	process *os.Process
}

// Ports lie below those that the kernel gives to connections, so that a process or a minion finds its own free when it starts again. They come
// in blocks, each of which a scene holds by a listener on its last port.
const (
	lowestPort  = 29_304
	highestPort = 32_704
	blockPorts  = 8
)

// portPool gives out ports. The zero value is ready.
type portPool struct {
	mu          sync.Mutex
	next, limit int            // of the current block
	held        []net.Listener // to the end of the process
}

// take returns the first of count free ports in a row, fewer than blockPorts.
func (p *portPool) take(count int) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 500 {
		if p.next+count > p.limit {
			first := lowestPort + rand.IntN((highestPort-lowestPort)/blockPorts)*blockPorts
			lock, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+blockPorts-1))
			if err != nil {
				continue
			}
			p.held = append(p.held, lock)
			p.next, p.limit = first, first+blockPorts-1
		}
		first, free := p.next, true
		p.next += count
		for port := first; free && port < first+count; port++ {
			probe, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = probe.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

// newNode writes the settings of a process and opens its log.
func newNode(ports *portPool, dir, binary, storeAddress, name string, extra []string) (*node, error) {
	port, err := ports.take(4)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, binary: binary, settings: filepath.Join(dir, name+".conf"),
		front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
	}
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	lines := []string{
		"node=" + name, "role=peridot", "machine_class=front", "serves=front", "ip=127.0.0.1", "zone=courthouse", "region=pecan-county",
		"zones.courthouse=pecan-county", "listen.front=" + n.front, "listen.ready=" + n.ready,
		fmt.Sprintf("internal_ports=%d,%d", port+2, port+3), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "discovery=platform", "entry=vip", "heartbeat_ms=1500", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.max_hold_ms=6000", "bounds.stop_timeout_ms=900",
		"bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_s=1", "bounds.restore_ms=250", "bounds.notice_ms=4500",
		"bounds.lease_ms=3000", "bounds.reclaim_ms=3400", "orders=call", "platform.address=" + storeAddress, "platform.form=kv",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
		"platform.min_ttl_ms=1000",
	}
	return n, os.WriteFile(n.settings, []byte(strings.Join(append(lines, extra...), "\n")+"\n"), 0o600)
}

// run starts the process with the command of the deploy file, again whenever it ends, and kills it when ctx ends.
func (n *node) run(ctx context.Context, root string) {
	for ctx.Err() == nil {
		cmd := exec.Command(n.binary, "-platform")
		cmd.Dir = root
		cmd.Env = []string{"PERIDOTGW_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
		cmd.Stdout, cmd.Stderr = n.log, n.log
		if err := cmd.Start(); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return
		}
		n.mu.Lock()
		n.process = cmd.Process
		n.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = cmd.Wait()
			close(ended)
		}()
		select {
		case <-ended:
		case <-ctx.Done():
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-ended
			return
		}
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
		}
	}
}

// signal sends a signal to the process.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s)
	}
}

// caller makes the calls of clients. Retries go to other nodes.
type caller struct {
	nodes []*node
	rec   *record
	http  http.Client
	host  string

	mu   sync.Mutex
	next int
}

const (
	callDeadline = 3 * time.Second
	retryPause   = 200 * time.Millisecond
	maxTries     = 5
)

// call makes one call at a node and returns the status, 0 without an answer, and the body.
func (c *caller) call(n *node, method, path, key string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = c.host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, content
}

// pick returns the next node in turn.
func (c *caller) pick() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.nodes[c.next%len(c.nodes)]
}

// try makes a call, and repeats it at other nodes while it gets no answer or one that asks for it.
func (c *caller) try(method, path, key string, body []byte) (int, []byte) {
	status, answer := 0, []byte(nil)
	for range maxTries {
		n := c.pick()
		status, answer = c.call(n, method, path, key, body)
		if method != http.MethodGet {
			c.rec.add("client: %s %s at %s: %d", method, path, n.name, status)
		}
		switch status {
		case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(retryPause)
		default:
			return status, answer
		}
	}
	return status, answer
}

// submit hands a job in and reports whether it was accepted.
func (c *caller) submit(prefix, id, key string, job map[string]any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		return false
	}
	status, _ := c.try(http.MethodPost, prefix+id, key, body)
	return status >= 200 && status < 300
}

// state returns the state of a job, or the status of the answer as text.
func (c *caller) state(prefix, id, key string) string {
	status, answer := c.try(http.MethodGet, prefix+id, key, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return fmt.Sprint("status ", status)
	}
	return body.State
}
