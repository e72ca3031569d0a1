package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = 6 * time.Second        // longest lease
	stopTime      = 100 * time.Millisecond // from a stop order to the end of the run
	startupTime   = 300 * time.Millisecond // until a task that lasts is at work
	endsPerAnswer = 500
	beatInterval  = 1500 * time.Millisecond
	maxHoldWait   = 2 * time.Second
)

// fleet is the set of minions of a scene. Its mutex guards the state of all of them, so that events have one order.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	store   *store
	ports   portPool
	minions []*minion
	starts  []startEvent
	dones   []*doneEvent
	broken  []string // violations that were seen at a start
	// permits reports whether a minion may start a task with a ticket; nil if the queue has no advice.
	permits func(step, minion, ticket string) bool
	// outcome returns how a run ends and after what time; zero for one that does not end by itself.
	outcome func(task string, run int64, spec string) (after time.Duration, how string)
}

// startEvent is a start of a task by a minion.
type startEvent struct {
	at     time.Time
	task   string
	run    int64
	minion string
}

// doneEvent is an end with done, and when it was taken note of.
type doneEvent struct {
	at     time.Time
	task   string
	run    int64
	minion string
	noted  time.Time // zero if it was not
	lapsed bool      // the lease ended before it was noted
}

// minion is one minion, which may start again under its id.
type minion struct {
	fleet   *fleet
	id      string
	service string
	labels  []string
	zone    string
	cpu     int // thousandths of a core
	memMB   int
	gpu     int
	address string

	server *http.Server // nil while it is down
	// aheadBy is how far the time of day of its machine is ahead.
	aheadBy  time.Duration
	mute     bool      // sends no heartbeats
	born     int64     // Unix milliseconds, by the time of day of its machine
	since    time.Time // of its steady clock
	runs     map[runID]*minionRun
	ended    []minionEnd
	nextEnd  int64
	highest  map[string]int64 // by task, the highest run that was stopped or has ended
	token    uint64
	until    int64 // end of the lease on its clock; 0 for none
	lease    *time.Timer
	changed  chan struct{} // closed and replaced at each end
	seq      int64
	life     int
	openDone []*doneEvent // that are not noted yet
}

type runID struct {
	task   string
	number int64
}

type minionRun struct {
	runID
	since time.Time
	work  time.Duration // 0 for one that does not end by itself
	timer *time.Timer
	need  need
}

// need is what a task takes.
type need struct{ cpu, memMB, gpu int }

type minionEnd struct {
	number int64
	runID
	how string
}

// start begins a life of the minion at its address, or at a new one if it has none, and registers it.
func (m *minion) start() error {
	address := m.address
	if address == "" {
		port, err := m.fleet.ports.take(1)
		if err != nil {
			return err
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f := m.fleet
	f.mu.Lock()
	m.address = listener.Addr().String()
	m.since = time.Now()
	m.born = m.since.Add(m.aheadBy).UnixMilli()
	m.runs, m.highest, m.changed = map[runID]*minionRun{}, map[string]int64{}, make(chan struct{})
	m.ended, m.nextEnd, m.token, m.until, m.openDone = nil, 1, 0, 0, nil
	m.life++
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	server := m.server
	f.rec.add("%s starts, life %d, born %d", m.id, m.life, m.born)
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	m.beat()
	return nil
}

// crash ends the life of the minion without a word.
func (m *minion) crash() {
	f := m.fleet
	f.mu.Lock()
	server := m.server
	m.server = nil
	for _, r := range m.runs {
		r.timer.Stop()
	}
	m.runs = map[runID]*minionRun{}
	if m.lease != nil {
		m.lease.Stop()
	}
	f.rec.add("%s crashes in life %d", m.id, m.life)
	f.mu.Unlock()
	_ = server.Close()
}

// beat writes the minion's entry.
func (m *minion) beat() {
	f := m.fleet
	f.mu.Lock()
	if m.server == nil || m.mute {
		f.mu.Unlock()
		return
	}
	m.seq++
	entry, err := json.Marshal(map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": m.gpu}, "labels": m.labels, "clock_ms": m.clock(),
		"seq": m.seq, "born": m.born,
	})
	f.mu.Unlock()
	if err == nil {
		f.store.put("servers/"+m.id, entry)
	}
}

// beatUntil writes the entry at each interval, and lets it expire after three of them without a heartbeat.
func (m *minion) beatUntil(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(beatInterval / 3):
		}
		m.fleet.mu.Lock()
		up := m.server != nil && !m.mute
		m.fleet.mu.Unlock()
		switch {
		case up && time.Since(last) >= beatInterval:
			m.beat()
			last = time.Now()
		case !up && time.Since(last) >= 3*beatInterval && m.fleet.store.has("servers/"+m.id):
			m.fleet.store.remove("servers/" + m.id)
		}
	}
}

func (m *minion) clock() int64 { return time.Since(m.since).Milliseconds() }

type orderBody struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	// Ticket is that of the advice service.
	Ticket string `json:"ticket"`
	Wait   int64  `json:"wait_ms"`
}

// ServeHTTP serves the orders to the minion.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var order orderBody
	if err != nil || json.Unmarshal(body, &order) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != m.id {
		writeJSON(w, http.StatusMisdirectedRequest, nil)
		return
	}
	m.fleet.mu.Lock()
	if m.server == nil {
		m.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := m.order(r.URL.Path, order)
	changed, life, empty := m.changed, m.life, len(m.ended) == 0
	m.fleet.mu.Unlock()
	if r.URL.Path == "/hold" && status == http.StatusOK {
		if order.Wait > 0 && empty {
			select {
			case <-changed:
			case <-time.After(min(time.Duration(order.Wait)*time.Millisecond, maxHoldWait)):
			case <-r.Context().Done():
				return
			}
		}
		m.fleet.mu.Lock()
		if m.life != life || m.server == nil {
			m.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		answer = m.report()
		m.fleet.mu.Unlock()
	}
	writeJSON(w, status, answer)
}

// order executes an order; the fleet's mutex is held.
func (m *minion) order(path string, o orderBody) (int, map[string]any) {
	if o.Token < m.token {
		return m.reject("fence")
	}
	m.token = o.Token
	switch path {
	case "/run-start":
		return m.startRun(o)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if run := m.runs[runID{o.Task, o.Run}]; run != nil {
			m.fleet.rec.add("%s is told to stop %s run %d", m.id, o.Task, o.Run)
			time.AfterFunc(stopTime, func() { m.finish(run, "stopped") })
		}
	case "/hold":
		m.extend(o.Until)
		m.note(o.Seen)
	case "/pace":
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born}
}

func (m *minion) reject(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.born}
}

func (m *minion) startRun(o orderBody) (int, map[string]any) {
	f, id := m.fleet, runID{o.Task, o.Run}
	if m.runs[id] != nil {
		m.extend(o.Until)
		return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born}
	}
	if o.Run <= m.highest[o.Task] {
		m.extend(o.Until)
		return m.reject("old")
	}
	m.extend(o.Until)
	if m.until <= m.clock() {
		return m.reject("late")
	}
	if step := o.Task[:strings.LastIndex(o.Task, ".")]; f.permits != nil && !f.permits(step, m.id, o.Ticket) {
		f.rec.add("%s rejects %s run %d: ticket", m.id, o.Task, o.Run)
		return m.reject("ticket")
	}
	f.rec.add("%s starts %s run %d, token %d", m.id, o.Task, o.Run, o.Token)
	for _, other := range f.minions {
		for _, run := range other.runs {
			if run.task == o.Task {
				f.breaks("TWICE: %s run %d starts on %s while run %d is on %s", o.Task, o.Run, m.id, run.number, other.id)
			}
		}
	}
	f.starts = append(f.starts, startEvent{time.Now(), o.Task, o.Run, m.id})
	after, how := f.outcome(o.Task, o.Run, o.Spec)
	r := &minionRun{runID: id, since: time.Now(), work: after, need: needOf(o.Spec)}
	m.runs[id] = r
	if after > 0 {
		r.timer = time.AfterFunc(after, func() { m.finish(r, how) })
	} else {
		r.timer = time.AfterFunc(time.Hour, func() {})
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born}
}

// needOf reads what a task takes from its spec, which holds words such as gpu=1.
func needOf(spec string) need {
	return need{cpu: word(spec, "cpu"), memMB: word(spec, "mem"), gpu: word(spec, "gpu")}
}

// word returns the number behind a name in a spec, or 0.
func word(spec, name string) int {
	for _, part := range strings.Fields(spec) {
		if text, found := strings.CutPrefix(part, name+"="); found {
			value, err := strconv.Atoi(text)
			if err == nil {
				return value
			}
		}
	}
	return 0
}

// finish ends a run, unless it has ended before.
func (m *minion) finish(r *minionRun, how string) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.end(r, how)
}

// end ends a run; the fleet's mutex is held.
func (m *minion) end(r *minionRun, how string) {
	if m.server == nil || m.runs[r.runID] != r {
		return
	}
	delete(m.runs, r.runID)
	r.timer.Stop()
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ended = append(m.ended, minionEnd{m.nextEnd, r.runID, how})
	m.fleet.rec.add("%s ends %s run %d: %s, end %d", m.id, r.task, r.number, how, m.nextEnd)
	m.nextEnd++
	if how == "done" {
		done := &doneEvent{at: time.Now(), task: r.task, run: r.number, minion: m.id}
		m.fleet.dones = append(m.fleet.dones, done)
		m.openDone = append(m.openDone, done)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// extend extends the lease, to at most maxHold from now.
func (m *minion) extend(until int64) {
	now := m.clock()
	until = min(until, now+maxHold.Milliseconds())
	if until <= m.until || until <= now {
		return
	}
	m.until = until
	if m.lease != nil {
		m.lease.Stop()
	}
	life := m.life
	m.lease = time.AfterFunc(time.Duration(until-now)*time.Millisecond, func() { m.lapse(life) })
}

// lapse ends all runs, whose lease is over.
func (m *minion) lapse(life int) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.life != life || m.server == nil || m.clock() < m.until {
		return
	}
	for _, r := range m.runs {
		m.end(r, "lapsed")
	}
	for _, done := range m.openDone {
		done.lapsed = true
	}
}

// note forgets the ends up to a number, which the system has taken note of.
func (m *minion) note(seen int64) {
	if seen <= 0 {
		return
	}
	m.ended = slices.DeleteFunc(m.ended, func(e minionEnd) bool {
		if e.number > seen {
			return false
		}
		m.fleet.rec.add("%s is told that end %d is noted: %s run %d %s", m.id, e.number, e.task, e.runID.number, e.how)
		for _, done := range m.openDone {
			if e.how == "done" && done.task == e.task && done.run == e.runID.number {
				done.noted = time.Now()
			}
		}
		return true
	})
	m.openDone = slices.DeleteFunc(m.openDone, func(d *doneEvent) bool { return !d.noted.IsZero() })
}

// report returns the lists of the minion; the fleet's mutex is held.
func (m *minion) report() map[string]any {
	running, ended := []any{}, []any{}
	for _, r := range m.runs {
		percent := 0
		switch at := time.Since(r.since); {
		case r.work > 0:
			percent = int(min(99, 100*at/r.work))
		case at >= startupTime:
			percent = 100
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range m.ended[:min(len(m.ended), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.runID.number, e.how, ""})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended": ended}
}

// breaks records that a rule is broken; the fleet's mutex is held.
func (f *fleet) breaks(format string, args ...any) {
	text := f.rec.add("BROKEN "+format, args...)
	f.broken = append(f.broken, text)
}

// startedAfterDone returns the starts of tasks after an end with done that was taken note of, while the lease held.
func (f *fleet) startedAfterDone() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, done := range f.dones {
		if done.noted.IsZero() || done.lapsed {
			continue
		}
		for _, start := range f.starts {
			if start.task == done.task && start.at.After(done.at) {
				broken = append(broken, f.rec.add("BROKEN TWICE: %s run %d starts on %s %.1f s after run %d ended done on %s, an end that was taken note of",
					start.task, start.run, start.minion, start.at.Sub(done.at).Seconds(), done.run, done.minion))
			}
		}
	}
	return broken
}
