package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	restartDelay = 300 * time.Millisecond
	startTimeout = 15 * time.Second
	// settleTime is the time between the start of the machines and that of the traffic.
	settleTime = 10 * time.Second

	host    = "nony24.example"
	apiKey  = "d4a3hwrr6x73d3zji9n7"
	service = "huvo11a"
)

// Prefixes of the queues, by priority.
var prefixes = [3]string{"/pufi791/", "/lohu930/", "/pule252/"} //nolint:gochecknoglobals // constant

var zoneNames = []string{"courthouse", "fairground", "waterworks", "library"} //nolint:gochecknoglobals // constant

// machine is one machine of the system with its process, which the platform starts again whenever it ends.
type machine struct {
	name, settings, front, ready string

	mu      sync.Mutex
	process *os.Process
	dark    bool // without power
	stopped bool // the case is over
	killed  bool // this process was killed by the case
	ownEnds []time.Time
}

// cluster is a small deployment: the stand-ins of the platform and the minions, and the system's processes.
type cluster struct {
	rec       *record
	dir       string
	store     *store
	storeURL  string
	minions   []*minion
	machines  []*machine
	client    *http.Client
	processes sync.WaitGroup
}

func newCluster(rec *record, dir string) (*cluster, error) {
	c := &cluster{rec: rec, dir: dir, store: newStore(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.storeURL = listener.Addr().String()
	go func() { _ = http.Serve(listener, c.store) }()
	c.store.put("op/config", config(1))
	return c, nil
}

// config returns the operators' configuration: one service, and a queue for each priority.
func config(version int) []byte {
	var routes []string
	for priority, prefix := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","host":%q,"prefix":%q,"kind":"unsafe","timeout_ms":3000,`+
			`"target_latency_ms":1000,"priority":%d,"service":%q,"max_attempts":4,"stretch":3.0,"allow_anonymous":false}`,
			priority, host, prefix, priority, service))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"health_path":"/healthz","max_conns":64,`+
		`"protocol":"h1","tls":false,"enforces_capacity":false,"standby":false}],"limits":{"max_header_bytes":16384,`+
		`"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"kaje80","api_keys":[%q],"priority":1,"guaranteed":{"gpu":24}}]}`,
		version, strings.Join(routes, ","), service, apiKey)
}

// addMinions starts count minions of 64 cores, 256 GB and 8 GPUs, six to a rack.
func (c *cluster) addMinions(count int, outcome func(task string, run int64) (time.Duration, string)) error {
	for i := range count {
		m := &minion{
			id: fmt.Sprintf("i-%04d", i), zone: zoneNames[i/6%len(zoneNames)], service: service, labels: []string{"a", fmt.Sprintf("r1-%d", i/6)},
			cpu: 64000, memMB: 262144, gpu: 8, rec: c.rec, store: c.store, outcome: outcome,
		}
		if err := m.start(); err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	return nil
}

// startMachines starts count machines of the system and waits until all are ready, and then until the traffic begins.
func (c *cluster) startMachines(count int) error {
	began := time.Now()
	for i := range count {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zoneNames[i%len(zoneNames)], i+1)}
		if err := c.writeSettings(m, zoneNames[i%len(zoneNames)]); err != nil {
			return err
		}
		c.machines = append(c.machines, m)
	}
	for _, m := range c.machines {
		c.processes.Go(func() { c.keepRunning(m) })
	}
	for _, m := range c.machines {
		for !c.isReady(m) {
			if time.Since(began) > startTimeout {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for c.leader() == nil {
		if time.Since(began) > startTimeout {
			return errors.New("there is no leader")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(settleTime - time.Since(began))
	c.rec.say("%d machines and %d minions run, %s leads; traffic begins", len(c.machines), len(c.minions), c.leader().name)
	return nil
}

// writeSettings writes a machine's settings file as the platform does, with the bounds of the site.
func (c *cluster) writeSettings(m *machine, zone string) error {
	ip := loopback(len(c.machines))
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	m.front, m.ready = fmt.Sprintf("%s:%d", ip, ports), fmt.Sprintf("%s:%d", ip, ports+1)
	m.settings = filepath.Join(c.dir, m.name+".conf")
	lines := []string{
		"node=" + m.name, "role=peridot", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + zone, "region=pecan-county",
		"listen.front=" + m.front, "listen.ready=" + m.ready, fmt.Sprintf("internal_ports=%d,%d", ports+2, ports+3),
		"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "bounds.contact_ms=3000", "bounds.ack_ms=4000",
		"bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.config_apply_ms=2000", "bounds.max_hold_ms=6000",
		"bounds.stop_timeout_ms=900", "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_s=1",
		"bounds.restore_ms=250", "bounds.notice_ms=4500", "bounds.reclaim_ms=3400", "orders=call",
		"platform.address=" + c.storeURL, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for _, name := range zoneNames {
		lines = append(lines, "zones."+name+"=pecan-county")
	}
	return os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// loopback returns an address of the loopback network for the n-th machine, which no other run of a case uses.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, pid%250, n+1)
}

// freePorts returns the first of count free ports in a row at an address, below the range of the kernel's own choices.
func freePorts(ip string, count int) (int, error) {
	for port := 7000; port < 32000; port += count {
		var listeners []net.Listener
		for i := range count {
			if l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port+i))); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == count {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// keepRunning starts a machine's process as the deploy file does, and again after each end.
func (c *cluster) keepRunning(m *machine) {
	log, err := os.Create(filepath.Join(c.dir, m.name+".log"))
	if err != nil {
		return
	}
	defer func() { _ = log.Close() }()
	for {
		m.mu.Lock()
		dark, stopped := m.dark, m.stopped
		m.mu.Unlock()
		if stopped {
			return
		}
		if dark {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		cmd := exec.Command("target/peridotd", "-platform")
		cmd.Env = []string{"PERIDOTGW_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			c.rec.say("%s doesn't start: %v", m.name, err)
			return
		}
		m.mu.Lock()
		m.process, m.killed = cmd.Process, false
		m.mu.Unlock()
		err := cmd.Wait()
		m.mu.Lock()
		if !m.killed && !m.stopped {
			m.ownEnds = append(m.ownEnds, time.Now())
			c.rec.say("the process of %s ends by itself: %v", m.name, err)
		}
		m.process = nil
		m.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the machine's process; SIGKILL counts as an end by the case.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.killed = m.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = m.process.Signal(s)
	}
}

// powerOff kills the process and keeps it down for a time.
func (m *machine) powerOff(d time.Duration) {
	m.mu.Lock()
	m.dark = true
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	time.AfterFunc(d, func() {
		m.mu.Lock()
		m.dark = false
		m.mu.Unlock()
	})
}

func (m *machine) ends() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.ownEnds...)
}

func (c *cluster) isReady(m *machine) bool {
	res, err := c.client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// leader returns the machine that leads, as the platform sees it: the one that wrote the leader's key.
func (c *cluster) leader() *machine {
	value := c.store.value("system/leader")
	for _, m := range c.machines {
		if bytes.Contains(value, []byte(m.name)) {
			return m
		}
	}
	return nil
}

// other returns a machine that doesn't lead.
func (c *cluster) other() *machine {
	leader := c.leader()
	for _, m := range c.machines {
		if m != leader {
			return m
		}
	}
	return c.machines[0]
}

// call makes a client's call to a machine and returns the status, 0 without an answer, and the body.
func (c *cluster) call(m *machine, method, path, body string) (int, string) {
	const deadline = 3 * time.Second
	client := &http.Client{Transport: c.client.Transport, Timeout: deadline}
	req, err := http.NewRequest(method, "http://"+m.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		c.rec.add("client %s %s at %s: no answer: %v", method, path, m.name, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	c.rec.add("client %s %s at %s: %d %s", method, path, m.name, res.StatusCode, strings.TrimSpace(string(text)))
	return res.StatusCode, string(text)
}

// submit hands a job in, again at other machines after no answer, 502, 503 or 504, and reports whether it was accepted.
func (c *cluster) submit(prefix, id, body string) bool {
	for attempt := range 5 {
		m := c.machines[attempt%len(c.machines)]
		switch status, _ := c.call(m, http.MethodPost, prefix+id, body); status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			time.Sleep(300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, m := range c.machines {
		m.mu.Lock()
		m.stopped, m.dark = true, false
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
	}
	c.processes.Wait()
}
