package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = 6 * time.Second // bounds.max_hold_ms of a small deployment
	stopTime      = 100 * time.Millisecond
	gangTimeout   = 3 * time.Second
	endsPerReport = 500
)

// fleet is what the minions of a case have in common. Its function fields are set before use and are called with mu held.
type fleet struct {
	record *record
	// workOf returns how long a task works before it ends as done.
	workOf func(task string) time.Duration
	// gangOf returns the number of tasks of a gang step (JOB.OCCURRENCE.STEP); 0 for a step without a gang.
	gangOf func(step string) int
	// onStart is called with each start that a minion has executed.
	onStart func(m *minion, task string, number int64)

	mu       sync.Mutex // guards the state of all minions
	runs     map[string][]*run
	done     map[string]bool      // tasks with an end done
	lastWork map[string]time.Time // by job: when one of its tasks was last running
	specs    map[string]int       // starts by spec
}

func newFleet(r *record) *fleet {
	return &fleet{
		record: r, workOf: func(string) time.Duration { return time.Second }, gangOf: func(string) int { return 0 },
		onStart: func(*minion, string, int64) {}, runs: map[string][]*run{}, done: map[string]bool{}, lastWork: map[string]time.Time{},
		specs: map[string]int{},
	}
}

// jobOf returns the job of a task or a step.
func jobOf(task string) string { return task[:strings.Index(task, ".")] }

// running reports whether a task of a job runs.
func (f *fleet) running(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, runs := range f.runs {
		if len(runs) > 0 && jobOf(task) == job {
			return true
		}
	}
	return false
}

// runningSince returns when a task of a job was last running; now if one is, and the zero time if none ever was.
func (f *fleet) runningSince(job string) time.Time {
	if f.running(job) {
		return time.Now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastWork[job]
}

// minion is a minion as the users' pages describe it. Exported behaviour is by HTTP.
type minion struct {
	id, address, zone, pool string
	cpu, memMB, gpu         int
	fleet                   *fleet

	// The fields below are guarded by fleet.mu.
	labels     []string
	up         bool
	server     *http.Server
	startedAt  time.Time
	runs       map[string]*run
	ended      []end
	nextEnd    int64
	highest    map[string]int64 // highest run that was stopped or has ended, by task
	token      uint64
	until      time.Time
	leaseTimer *time.Timer
	changed    chan struct{} // closed and replaced when a run ends
	seq        int64
}

type run struct {
	task   string
	number int64
	minion *minion
	since  time.Time
	timer  *time.Timer
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// boot starts a life of the minion: it knows nothing of before, and its counts and its clock start anew.
func (m *minion) boot(labels ...string) error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.labels, m.up, m.startedAt = labels, true, time.Now()
	m.runs, m.highest, m.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	m.ended, m.nextEnd, m.token, m.until, m.seq = nil, 1, 0, time.Time{}, 0
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	server := m.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the life of the minion: all that runs ends, and nothing is said.
func (m *minion) crash() {
	m.fleet.mu.Lock()
	server := m.server
	m.up = false
	for _, r := range m.runs {
		m.remove(r)
	}
	m.fleet.mu.Unlock()
	_ = server.Close()
}

func (m *minion) clock() int64 { return time.Since(m.startedAt).Milliseconds() }

func (m *minion) has(label string) bool {
	for _, l := range m.labels {
		if l == label {
			return true
		}
	}
	return label == ""
}

// registration returns the minion's entry in the store.
func (m *minion) registration() []byte {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.seq++
	entry, err := json.Marshal(map[string]any{
		"service": m.pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": m.gpu}, "labels": m.labels,
		"clock_ms": m.clock(), "seq": m.seq, "born": m.startedAt.UnixMilli(),
	})
	if err != nil {
		return nil
	}
	return entry
}

type order struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
	Spec  string `json:"spec"`
}

// ServeHTTP serves the orders.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.fleet.mu.Lock()
	life, status, answer := m.startedAt, http.StatusOK, map[string]any(nil)
	switch {
	case !m.up:
		m.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	case o.Token < m.token:
		status, answer = m.reject("fence")
	default:
		m.token = o.Token
		status, answer = m.execute(r.URL.Path, &o)
	}
	changed, wait := m.changed, r.URL.Path == "/hold" && status == http.StatusOK && o.Wait > 0 && len(m.ended) == 0
	m.fleet.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		m.fleet.mu.Lock()
		if !m.up || m.startedAt != life {
			m.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		answer = m.report()
		m.fleet.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// execute executes an order with a valid token; fleet.mu is held.
func (m *minion) execute(path string, o *order) (int, map[string]any) {
	switch path {
	case "/run-start":
		return m.startRun(o)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.number <= o.Run {
			time.AfterFunc(stopTime, func() { m.fleet.finish(r, "stopped") })
		}
	case "/hold":
		m.extend(o.Until)
		for len(m.ended) > 0 && m.ended[0].number <= o.Seen {
			m.ended = m.ended[1:]
		}
		return http.StatusOK, m.report()
	case "/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.startedAt.UnixMilli()}
}

func (m *minion) reject(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.startedAt.UnixMilli()}
}

func (m *minion) startRun(o *order) (int, map[string]any) {
	present := m.runs[o.Task]
	switch {
	case present != nil && present.number == o.Run:
		m.extend(o.Until)
		return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.startedAt.UnixMilli()}
	case present != nil || o.Run <= m.highest[o.Task]:
		m.extend(o.Until)
		return m.reject("old")
	case o.Until <= m.clock():
		return m.reject("late")
	}
	m.extend(o.Until)
	r := &run{task: o.Task, number: o.Run, minion: m, since: time.Now()}
	m.runs[o.Task] = r
	m.fleet.runs[o.Task] = append(m.fleet.runs[o.Task], r)
	m.fleet.record.note("start %s run %d on %s", o.Task, o.Run, m.id)
	m.fleet.specs[o.Spec]++
	m.fleet.onStart(m, o.Task, o.Run)
	m.fleet.work(r)
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.startedAt.UnixMilli()}
}

// work begins the work of a run or, once all members of its gang are present, that of the gang; mu is held.
func (f *fleet) work(r *run) {
	step := r.task[:strings.LastIndex(r.task, ".")]
	size := f.gangOf(step)
	if size == 0 {
		r.timer = time.AfterFunc(f.workOf(r.task), func() { f.finish(r, "done") })
		return
	}
	members := f.members(step, r.number)
	if len(members) < size {
		r.timer = time.AfterFunc(gangTimeout, func() { f.finish(r, "alone") })
		return
	}
	for _, member := range members {
		if member.timer != nil {
			member.timer.Stop()
		}
	}
	work := f.workOf(r.task)
	for _, member := range members {
		member.timer = time.AfterFunc(work, func() { f.finish(member, "done") })
	}
}

// members returns the runs of a step with a number; mu is held.
func (f *fleet) members(step string, number int64) []*run {
	var list []*run
	for task, runs := range f.runs {
		if !strings.HasPrefix(task, step+".") {
			continue
		}
		for _, r := range runs {
			if r.number == number {
				list = append(list, r)
			}
		}
	}
	return list
}

func (f *fleet) finish(r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.minion.runs[r.task] != r {
		return
	}
	r.minion.end(r, how)
	step := r.task[:strings.LastIndex(r.task, ".")]
	if how != "done" && how != "alone" && f.gangOf(step) > 0 {
		for _, member := range f.members(step, r.number) {
			if member.minion.runs[member.task] == member {
				member.minion.end(member, "broken")
			}
		}
	}
}

// remove forgets a run; fleet.mu is held.
func (m *minion) remove(r *run) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	m.fleet.lastWork[jobOf(r.task)] = time.Now()
	runs := m.fleet.runs[r.task]
	for i, other := range runs {
		if other == r {
			m.fleet.runs[r.task] = append(runs[:i:i], runs[i+1:]...)
			return
		}
	}
}

func (m *minion) end(r *run, how string) {
	m.remove(r)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ended = append(m.ended, end{m.nextEnd, r.task, r.number, how})
	m.nextEnd++
	if how == "done" {
		m.fleet.done[r.task] = true
	}
	m.fleet.record.note("end %s run %d on %s: %s", r.task, r.number, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// extend extends the lease of all that runs, to at most maxHold from now; fleet.mu is held.
func (m *minion) extend(until int64) {
	lease := m.startedAt.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(maxHold); lease.After(limit) {
		lease = limit
	}
	if until == 0 || !lease.After(m.until) {
		return
	}
	m.until = lease
	if m.leaseTimer != nil {
		m.leaseTimer.Stop()
	}
	life := m.startedAt
	m.leaseTimer = time.AfterFunc(time.Until(lease), func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.startedAt != life || !m.up {
			return
		}
		for _, r := range m.runs {
			m.end(r, "lapsed")
		}
	})
}

// report returns the lists of runs and ends; fleet.mu is held.
func (m *minion) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		work := m.fleet.workOf(r.task)
		percent := min(99, int(100*time.Since(r.since)/max(work, 1)))
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, e := range m.ended[:min(len(m.ended), endsPerReport)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.startedAt.UnixMilli(), "running": running, "ended": ended}
}

func (m *minion) String() string { return fmt.Sprintf("%s %v", m.id, m.labels) }
