package gangs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotgw.example/peridotgw/bench/internal/vtime"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// FaultMix has the probability of each fault: per member of a gang for refusals and lost answers, per gang for one member that
// hangs or dies while the gang starts.
type FaultMix struct {
	Name                    string
	Refuse, Lose, Hang, Die float64
}

// Mixes returns the mixes of faults that are measured.
func Mixes() []FaultMix {
	return []FaultMix{
		{Name: "none"},
		{Name: "refusals", Refuse: 0.01},
		{Name: "lost answers", Lose: 0.05},
		{Name: "a member hangs", Hang: 0.2},
		{Name: "a member dies", Die: 0.2},
		{Name: "all", Refuse: 0.005, Lose: 0.02, Hang: 0.05, Die: 0.05},
	}
}

// Sizes and times of a run.
const (
	workers               = 64
	acceleratorsPerWorker = 8
	smallestGang          = 8
	largestGang           = 48
	// undoWindow and reserveWindow are the longest times that a start takes without and with the reserve step; a member
	// dies within them.
	undoWindow      = 23 * time.Millisecond
	reserveWindow   = 43 * time.Millisecond
	runTime         = 2 * time.Second
	leaseExpiryWait = 20 * time.Second
	recordLatency   = 3 * time.Millisecond
	callTimeout     = 2 * time.Second
	// maxDelayMs is the longest delay of a worker's answer in milliseconds.
	maxDelayMs = 20
)

// Result counts the gangs of one run by outcome; accelerator time is in seconds.
type Result struct {
	Gangs, Started, Partial int
	// Wasted is the accelerator time of the tasks, and Reserved that of the reservations, of gangs that never ran whole.
	Wasted, Reserved float64
	// Start has the times until a gang ran whole, in microseconds.
	Start *hdrhistogram.Histogram
	err   error
}

// cluster is a set of simulated workers and the gang driver under test.
type cluster struct {
	random  *rand.Rand
	network *fakewk.Network
	servers []*fakewk.Server
	driver  *gang.Driver
	result  *Result

	mu sync.Mutex // mu guards the fields below.
	// holds has the reservations of the current gang.
	holds map[model.ReservationID]*hold
	// runs has the tasks of workers that died, because a dead worker loses its tasks.
	runs []fakewk.Run
	// diedAt has the time of death by worker address, for the current gang.
	diedAt map[string]time.Time
}

// hold is the time during which a reservation holds accelerators.
type hold struct {
	accelerators model.Accelerators
	from, to     time.Time
}

// Run starts gangs under a mix of faults; undo omits the reserve step. Both variants of a seed get the same gangs and the
// same faults.
func Run(ctx context.Context, mix FaultMix, gangs int, seed uint64, undo bool) (*Result, error) {
	result := &Result{Start: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	vtime.Run(func() {
		// The caller's context was created outside of the virtual time, so only its values are passed on.
		ctx := context.WithoutCancel(ctx)
		c := newCluster(result, seed, undo)
		for n := range gangs {
			c.startGang(ctx, n, mix)
		}
	})
	return result, result.err
}

func newCluster(result *Result, seed uint64, undo bool) *cluster {
	c := &cluster{
		random:  rand.New(rand.NewPCG(seed, 3)), //nolint:gosec // Faults are seeded, not secret.
		network: fakewk.NewNetwork(), result: result,
	}
	for i := range workers {
		server := fakewk.New(workerID(i), acceleratorsPerWorker)
		c.servers = append(c.servers, server)
		c.network.SetHandler(string(workerID(i)), server)
	}
	c.driver = &gang.Driver{
		Worker: &worker.Client{Timeout: callTimeout, Do: c.do}, TimeLimits: gang.DefaultTimeLimits(), StartAndUndo: undo,
		Address:  func(workerID model.WorkerID) (string, bool) { return string(workerID), true },
		MayStart: func() *reply.Error { return nil },
		Record: func(_ context.Context, record jobs.Record) (jobs.Record, error) {
			time.Sleep(recordLatency)
			record.Version++
			return record, nil
		},
	}
	return c
}

func workerID(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%02d", i)) }

// do sends a call to a worker and records the reservations that it creates and ends.
func (c *cluster) do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, fmt.Errorf("reading the body of the call: %w", err)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	res, err := c.network.Do(req)
	var message struct {
		Reservation  model.ReservationID `json:"reservation"`
		Accelerators model.Accelerators  `json:"accelerators"`
	}
	if decodeErr := json.Unmarshal(body, &message); decodeErr != nil {
		return nil, fmt.Errorf("decoding the body of the call: %w", decodeErr)
	}
	refused := err == nil && res.StatusCode != http.StatusOK
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, dead := c.diedAt[req.URL.Host]; dead && err == nil {
		// The simulated worker still answers calls that reached it before its death.
		return nil, errors.Join(errDead, res.Body.Close())
	}
	now := time.Now()
	held, found := c.holds[message.Reservation]
	switch op := strings.TrimPrefix(req.URL.Path, "/v1/"); {
	case op == "reserve" && !refused && !found:
		// A call without an answer may have been applied; the reservation then holds until it expires.
		c.holds[message.Reservation] = &hold{accelerators: message.Accelerators, from: now, to: now.Add(gang.DefaultTimeLimits().ReserveTTL)}
	case (op == "release" || op == "start") && found && err == nil && !refused && now.Before(held.to):
		held.to = now
	}
	return res, err
}

var errDead = errors.New("worker died before it answered")

// startGang starts one gang with random faults and waits until all leases have ended.
func (c *cluster) startGang(ctx context.Context, n int, mix FaultMix) {
	record, members := c.newGang(n)
	c.holds, c.runs, c.diedAt = map[model.ReservationID]*hold{}, nil, map[string]time.Time{}
	death := c.injectFaults(mix, members)
	began := time.Now()
	_, err := c.driver.Start(ctx, record)
	took := time.Since(began)
	if err == nil {
		time.Sleep(runTime)
		c.driver.Stop(ctx, record, worker.ModeKill, 0)
	}
	time.Sleep(leaseExpiryWait)
	death.Wait()
	c.recordGang(record, err == nil, took)
	for _, server := range c.servers {
		server.Set(fakewk.Faults{})
	}
}

func (c *cluster) newGang(n int) (jobs.Record, []int) {
	members := c.random.Perm(workers)[:smallestGang+c.random.IntN(largestGang-smallestGang+1)]
	job := model.JobID(fmt.Sprintf("gang-%d", n))
	record := jobs.Record{
		Spec: jobs.Spec{ID: job, RunTime: model.Duration(time.Hour)}, State: jobs.StateQueued, DataCentre: "dc", Token: 1,
	}
	for i, member := range members {
		name := fmt.Sprintf("%s/%d", job, i)
		record.Placement = append(record.Placement, jobs.Placement{
			Task: model.TaskID(name), Reservation: model.ReservationID(name), Worker: workerID(member), Accelerators: acceleratorsPerWorker,
		})
	}
	return record, members
}

// injectFaults draws the faults of the members. A member that refuses does so at the first call that asks it for
// accelerators. The returned group ends after the death of a member.
func (c *cluster) injectFaults(mix FaultMix, members []int) *sync.WaitGroup {
	victim := members[c.random.IntN(len(members))]
	hangs, dies := c.random.Float64() < mix.Hang, c.random.Float64() < mix.Die
	window := reserveWindow
	if c.driver.StartAndUndo {
		window = undoWindow
	}
	at := time.Duration(c.random.Float64() * float64(window))
	for _, member := range members {
		faults := fakewk.Faults{DelayMs: 1 + c.random.IntN(maxDelayMs)}
		if c.random.Float64() < mix.Refuse {
			faults.Refuse = true
			if c.driver.StartAndUndo {
				faults.RefuseStart = 1
			}
		}
		if c.random.Float64() < mix.Lose {
			faults.LoseAnswers = 1
		}
		faults.Hang = hangs && member == victim
		c.servers[member].Set(faults)
	}
	group := &sync.WaitGroup{}
	if dies {
		group.Go(func() {
			time.Sleep(at)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.runs = append(c.runs, c.servers[victim].Runs()...)
			c.diedAt[string(workerID(victim))] = time.Now()
			c.servers[victim].Set(fakewk.Faults{Dead: true})
		})
	}
	return group
}

// recordGang adds the accelerator time of the tasks and reservations of a gang to the result.
func (c *cluster) recordGang(record jobs.Record, started bool, took time.Duration) {
	c.result.Gangs++
	ran := 0.0
	add := func(run fakewk.Run, ended time.Time) {
		if run.Job == record.Spec.ID {
			ran += max(0, ended.Sub(run.Started).Seconds()) * float64(run.Accelerators)
		}
	}
	for at, server := range c.servers {
		diedAt, died := c.diedAt[string(workerID(at))]
		if died {
			for _, run := range c.runs {
				add(run, diedAt)
			}
			continue
		}
		for _, run := range server.Runs() {
			add(run, run.Ended)
		}
	}
	if started {
		c.result.Started++
		if err := c.result.Start.RecordValue(max(1, took.Microseconds())); err != nil {
			c.result.err = fmt.Errorf("recording the time of a start: %w", err)
		}
		return
	}
	if ran > 0 {
		c.result.Partial++
		c.result.Wasted += ran
	}
	for _, held := range c.holds {
		c.result.Reserved += held.to.Sub(held.from).Seconds() * float64(held.accelerators)
	}
}
