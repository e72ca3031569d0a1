package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold       = 6 * time.Second
	stopTime      = 100 * time.Millisecond // within stop_timeout_ms
	startup       = 500 * time.Millisecond // of a task that lasts
	endsPerAnswer = 500
	maxConns      = 64 // open at once; further ones wait to be accepted
	heartbeat     = 1500 * time.Millisecond
	entryTTL      = 3 * heartbeat
)

// minion is a stand-in of one worker. It doesn't guard its capacity, holds one lease for all that it runs, and returns its ends 500 at
// a time. Its tasks end after the time and in the way that outcome gives.
type minion struct {
	id, zone, service string
	labels            []string
	cpu, memMB, gpu   int
	address           string
	rec               *record
	store             *store
	// outcome returns how a run ends and after what time; 0 for never.
	outcome func(task string, run int64) (after time.Duration, how string)
	lasts   bool // its tasks last: their percent is 100 after a short startup

	mu       sync.Mutex
	born     time.Time
	cut      bool
	token    uint64
	runs     map[string]*run
	highest  map[string]int64
	ended    []end
	nextEnd  int64
	until    time.Time
	lapse    *time.Timer
	changed  chan struct{}
	seq      int64
	started  []runStart
	finished []runEnd
	listings []listing
}

type run struct {
	task   string
	number int64
	since  time.Time
	takes  time.Duration // 0 for a task that doesn't end by itself
	timer  *time.Timer
}

// percent returns the progress that the minion reports, in whole percent.
func (r *run) percent(lasts bool) int {
	elapsed := time.Since(r.since)
	switch {
	case lasts && elapsed > startup:
		return 100
	case lasts || r.takes == 0:
		return 0
	}
	return min(99, int(100*elapsed/r.takes))
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
}

// runStart, runEnd and listing are what the checks of the cases read.
type runStart struct {
	task string
	run  int64
	at   time.Time
	sent time.Time // when the order arrived at the minion
}

type runEnd struct {
	task string
	run  int64
	how  string
	at   time.Time
	n    int64
}

// listing is the range of ends that one answer to /hold listed, and the last_seen of that call.
type listing struct {
	at                time.Time
	first, last, seen int64
}

// start opens the minion's port and begins its heartbeats.
func (m *minion) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	m.born = time.Now()
	m.runs, m.highest, m.changed, m.nextEnd = map[string]*run{}, map[string]int64{}, make(chan struct{}), 1
	go func() { _ = http.Serve(newCappedListener(listener), m) }()
	go m.beat()
	return nil
}

// beat writes the minion's entry, and removes it after three intervals of silence, as the platform does.
func (m *minion) beat() {
	key, last := "servers/"+m.id, time.Now()
	for {
		m.mu.Lock()
		cut, entry := m.cut, m.entry()
		m.mu.Unlock()
		switch {
		case !cut:
			m.store.put(key, entry)
			last = time.Now()
		case time.Since(last) > entryTTL:
			m.store.remove(key)
		}
		time.Sleep(heartbeat)
	}
}

func (m *minion) entry() []byte {
	m.seq++
	text, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": m.gpu},
		"labels": m.labels, "clock_ms": m.clock(), "seq": m.seq, "born": m.born.UnixMilli(),
	})
	return text
}

// setCut partitions the minion from all machines, or ends that.
func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

func (m *minion) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// ServeHTTP serves orders. Bytes that arrive during a cut are lost, as their sender gives up the connection.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil || m.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != m.id {
		writeJSON(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	status, answer := m.execute(r.URL.Path, o, arrived)
	if r.URL.Path == "/hold" && status == http.StatusOK {
		answer = m.awaitEnd(r, o)
	}
	if m.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

func (m *minion) execute(path string, o order, arrived time.Time) (int, any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Token < m.token {
		return m.reject("fence")
	}
	m.token = o.Token
	switch path {
	case "/run-start":
		return m.startRun(o, arrived)
	case "/run-stop":
		m.rec.add("%s stop %s run %d", m.id, o.Task, o.Run)
		m.stopRun(o)
	case "/hold":
		m.extend(o.Until)
		kept := m.ended[:0:0]
		for _, e := range m.ended {
			if e.n > o.Seen {
				kept = append(kept, e)
			}
		}
		m.ended = kept
	case "/pace":
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock()}
}

func (m *minion) reject(reason string) (int, any) {
	return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason}
}

func (m *minion) startRun(o order, arrived time.Time) (int, any) {
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.Until)
		return http.StatusOK, map[string]any{"clock_ms": m.clock()}
	}
	if o.Run <= m.highest[o.Task] {
		m.extend(o.Until)
		return m.reject("old")
	}
	if o.Until <= m.clock() {
		return m.reject("late")
	}
	m.extend(o.Until)
	r := &run{task: o.Task, number: o.Run, since: time.Now()}
	m.runs[o.Task] = r
	m.started = append(m.started, runStart{o.Task, o.Run, r.since, arrived})
	m.rec.add("%s start %s run %d token %d", m.id, o.Task, o.Run, o.Token)
	if after, how := m.outcome(o.Task, o.Run); after > 0 {
		r.takes = after
		r.timer = time.AfterFunc(after, func() { m.finish(r, how) })
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock()}
}

func (m *minion) stopRun(o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number <= o.Run {
		time.AfterFunc(stopTime, func() { m.finish(r, "stopped") })
	}
}

func (m *minion) finish(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.task] == r {
		m.endRun(r, how)
	}
}

// endRun lists the end of a run; m.mu is held.
func (m *minion) endRun(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ended = append(m.ended, end{m.nextEnd, r.task, r.number, how})
	m.finished = append(m.finished, runEnd{r.task, r.number, how, time.Now(), m.nextEnd})
	m.rec.add("%s end %d %s run %d %s", m.id, m.nextEnd, r.task, r.number, how)
	m.nextEnd++
	close(m.changed)
	m.changed = make(chan struct{})
}

// extend extends the lease to a time on the minion's clock, at most by maxHold; m.mu is held.
func (m *minion) extend(untilMs int64) {
	until := m.born.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if untilMs == 0 || !until.After(m.until) {
		return
	}
	m.until = until
	if m.lapse != nil {
		m.lapse.Stop()
	}
	m.lapse = time.AfterFunc(time.Until(until), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if time.Now().Before(m.until) {
			return
		}
		m.rec.add("%s lease lapsed", m.id)
		for _, r := range m.runs {
			m.endRun(r, "lapsed")
		}
	})
}

// awaitEnd answers a hold at once if it has an end to list, and otherwise after the next end or the wait.
func (m *minion) awaitEnd(r *http.Request, o order) any {
	m.mu.Lock()
	waiting, changed := len(m.ended) == 0 && o.Wait > 0, m.changed
	m.mu.Unlock()
	if waiting {
		timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(m.lasts), 0})
	}
	list := m.ended[:min(len(m.ended), endsPerAnswer)]
	for _, e := range list {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	if len(list) > 0 {
		m.listings = append(m.listings, listing{time.Now(), list[0].n, list[len(list)-1].n, o.Seen})
		m.rec.add("%s hold token %d last_seen %d: %d running, ends %d to %d of %d", m.id, o.Token, o.Seen, len(running), list[0].n,
			list[len(list)-1].n, len(m.ended))
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended}
}

// copies returns copies of what the minion has started, finished and listed.
func (m *minion) copies() ([]runStart, []runEnd, []listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]runStart(nil), m.started...), append([]runEnd(nil), m.finished...), append([]listing(nil), m.listings...)
}

// runningTasks returns the names of the tasks that run.
func (m *minion) runningTasks() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	tasks := map[string]bool{}
	for task := range m.runs {
		tasks[task] = true
	}
	return tasks
}

func taskName(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }

// cappedListener accepts a connection only while fewer than maxConns are open.
type cappedListener struct {
	net.Listener
	slots chan struct{}
}

func newCappedListener(l net.Listener) *cappedListener {
	return &cappedListener{l, make(chan struct{}, maxConns)}
}

// Accept waits for a slot and then for a connection.
func (l *cappedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &cappedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// cappedConn gives its slot back when it is closed.
type cappedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *cappedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
