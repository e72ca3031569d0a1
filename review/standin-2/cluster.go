package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	storeAnswer  = 4 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	entryTTL     = 3 * beatInterval
	restartDelay = 300 * time.Millisecond
	settleTime   = 4 * time.Second // from the start of the processes to the traffic, as far as they are ready by then
	firstPort    = 20000
	pool         = "pool"
)

// cluster is a small deployment: the platform's store, instances and minions.
type cluster struct {
	ctx     context.Context
	record  *record
	dir     string
	daemon  string
	store   *fakepl.Store
	fleet   *fleet
	minions []*minion
	nodes   []*node
	late    atomic.Bool // the store loses answers of writes
	group   sync.WaitGroup
	closers []func()
}

// newCluster starts a store and an empty fleet. It returns an error if it can't listen.
func newCluster(ctx context.Context, opts *options, r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{ctx: ctx, record: r, dir: dir, daemon: opts.daemon, store: fakepl.NewStore(), fleet: newFleet(r)}
	c.closers = append(c.closers, func() { _ = os.RemoveAll(dir) })
	return c, nil
}

// serveStore serves the store for the instances, with the time that the platform's store takes for an answer.
func (c *cluster) serveStore() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv-watch" {
			time.Sleep(storeAnswer)
		}
		c.serveLate(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// addMinion boots a minion and registers it.
func (c *cluster) addMinion(labels ...string) error {
	n := len(c.minions)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.2.%d:0", n+1))
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return err
	}
	m := &minion{
		id: fmt.Sprintf("i-%04d", n), address: address, zone: "courthouse", pool: pool, cpu: 64000, memMB: 262144, gpu: 8, fleet: c.fleet,
	}
	if err := m.boot(labels...); err != nil {
		return err
	}
	c.minions = append(c.minions, m)
	c.register(m)
	c.group.Go(func() { c.beat(m) })
	return nil
}

// register writes a minion's entry.
func (c *cluster) register(m *minion) { c.store.Put(fakepl.WorkerKey(m.id), m.registration()) }

// beat removes the entry of a minion that is silent for three heartbeat intervals. The entry of one that beats stays as it is, since
// nothing but its count changes.
func (c *cluster) beat(m *minion) {
	last := time.Now()
	for sleep(c.ctx, beatInterval/10) {
		c.fleet.mu.Lock()
		up := m.up
		c.fleet.mu.Unlock()
		if up {
			last = time.Now()
		} else if time.Since(last) > entryTTL && c.store.Value(fakepl.WorkerKey(m.id)) != nil {
			c.store.Remove(fakepl.WorkerKey(m.id))
		}
	}
}

// startNodes starts a number of instances and waits until all are ready.
func (c *cluster) startNodes(count int) error {
	store, err := c.serveStore()
	if err != nil {
		return err
	}
	for i := range count {
		n, err := c.newNode(i, store)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		c.group.Go(func() { n.run(c.ctx) })
	}
	began := time.Now()
	for _, n := range c.nodes {
		for !n.ready() {
			if time.Since(began) > 20*time.Second || !sleep(c.ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s is not ready", n.name)
			}
		}
	}
	sleep(c.ctx, max(0, settleTime-time.Since(began)))
	return nil
}

// close ends all processes and servers of the case.
func (c *cluster) close() {
	c.group.Wait()
	for _, m := range c.minions {
		m.crash()
	}
	for _, fn := range c.closers {
		fn()
	}
}

// sleep waits for d and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// node is one instance, which is started again whenever it ends, as the platform does.
type node struct {
	name, daemon, settings, front, readyAt, logPath string
	record                                          *record

	mu      sync.Mutex // guards the fields below
	process *os.Process
	exits   int
}

// newNode writes the settings of an instance, like those of a small deployment, with free ports.
func (c *cluster) newNode(i int, store string) (*node, error) {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	port, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: fmt.Sprintf("front-courthouse-%d", i+1), daemon: c.daemon, settings: filepath.Join(c.dir, fmt.Sprintf("node-%d.conf", i+1)),
		front: fmt.Sprintf("%s:%d", ip, port), readyAt: fmt.Sprintf("%s:%d", ip, port+1), record: c.record,
		logPath: filepath.Join(c.dir, fmt.Sprintf("node-%d.log", i+1)),
	}
	lines := []string{
		"node=" + n.name, "role=peridot", "machine_class=front", "serves=front", "ip=" + ip, "zone=courthouse", "region=pecan-county",
		"zones.courthouse=pecan-county", "listen.front=" + n.front, "listen.ready=" + n.readyAt,
		fmt.Sprintf("internal_ports=%d,%d", port+2, port+3), "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1",
		"limits.memory_mb=284", "limits.max_fds=4100", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000",
		"bounds.evacuate_ms=5000", "bounds.max_hold_ms=6000", "bounds.stop_timeout_ms=900", "bounds.gang_timeout_ms=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.remote_factor=3", "bounds.checkpoint_s=1", "bounds.restore_ms=250", "bounds.notice_ms=4500", "bounds.reclaim_ms=3400",
		"orders=call", "platform.address=" + store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000", "",
	}
	return n, os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")), 0o600)
}

// freePorts returns the first of some consecutive ports that are free on ip.
func freePorts(ip string, count int) (int, error) {
	for first := firstPort + os.Getpid()%500*8; first < 32000; first += count {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				free = listener.Close() == nil
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// run starts the process, starts it again whenever it ends, and kills it when ctx ends.
func (n *node) run(ctx context.Context) {
	log, err := os.Create(n.logPath)
	if err != nil {
		return
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		cmd := exec.Command(n.daemon, "-platform")
		cmd.Env = []string{"PERIDOTGW_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			n.record.note("%s not started: %v", n.name, err)
			return
		}
		n.mu.Lock()
		n.process = cmd.Process
		n.mu.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		select {
		case err := <-ended:
			n.mu.Lock()
			n.exits++
			n.mu.Unlock()
			n.record.note("process of %s ended: %v", n.name, err)
		case <-ctx.Done():
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-ended
			return
		}
		sleep(ctx, restartDelay)
	}
}

// signal sends a signal to the current process, if one was started.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s)
	}
}

// ready asks the instance whether it takes new connections.
func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.readyAt + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// logged returns the lines of all instances' logs that contain a text.
func (c *cluster) logged(text string) []string {
	var found []string
	for _, n := range c.nodes {
		content, err := os.ReadFile(n.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, text) {
				found = append(found, strings.TrimSpace(line))
			}
		}
	}
	return found
}
