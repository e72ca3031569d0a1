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

// Mix is the chance of each fault: per member of a gang for refusals and lost answers, per gang for a member that hangs
// or dies while the gang starts.
type Mix struct {
	Name                    string
	Refuse, Lose, Hang, Die float64
}

// Mixes returns the faults that are measured.
func Mixes() []Mix {
	return []Mix{
		{Name: "none"},
		{Name: "refusals", Refuse: 0.01},
		{Name: "lost answers", Lose: 0.05},
		{Name: "a member hangs", Hang: 0.2},
		{Name: "a member dies", Die: 0.2},
		{Name: "all", Refuse: 0.005, Lose: 0.02, Hang: 0.05, Die: 0.05},
	}
}

// Sizes of a run.
const (
	workers   = 64
	perWorker = 8
	smallest  = 8
	largest   = 48
	// undoWindow and reserveWindow are how long a start takes at most; a member dies within them.
	undoWindow    = 23 * time.Millisecond
	reserveWindow = 43 * time.Millisecond
	runFor        = 2 * time.Second
	leasesEnd     = 20 * time.Second
	recordTime    = 3 * time.Millisecond
	callTimeout   = 2 * time.Second
	slowestDelay  = 20
)

// Result counts what became of the gangs of one run; accelerator time is in seconds.
type Result struct {
	Gangs, Started, Partial int
	// Wasted is what tasks of gangs that never ran whole took; Reserved what reservations of such gangs held.
	Wasted, Reserved float64
	// Start is the time until a gang ran whole, in microseconds.
	Start *hdrhistogram.Histogram
	err   error
}

// rig is a set of workers and the driver under test.
type rig struct {
	random  *rand.Rand
	network *fakewk.Network
	fakes   []*fakewk.Server
	driver  *gang.Driver
	result  *Result

	mu sync.Mutex
	// holds are the reservations of the present gang.
	holds map[model.ReservationID]*hold
	// runs are tasks of workers that died, which forget them.
	runs []fakewk.Run
	// diedAt is when the present gang's member died.
	diedAt map[string]time.Time
}

type hold struct {
	accelerators model.Accelerators
	from, to     time.Time
}

// Run starts gangs under a mix of faults; undo leaves the reserve step out. Both variants of a seed get the same gangs and
// the same faults.
func Run(ctx context.Context, mix Mix, gangs int, seed uint64, undo bool) (*Result, error) {
	result := &Result{Start: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	vtime.Run(func() {
		// The caller's context is from outside the virtual time, so only its values are passed on.
		ctx := context.WithoutCancel(ctx)
		r := newRig(result, seed, undo)
		for n := range gangs {
			r.one(ctx, n, mix)
		}
	})
	return result, result.err
}

func newRig(result *Result, seed uint64, undo bool) *rig {
	r := &rig{
		random:  rand.New(rand.NewPCG(seed, 3)), //nolint:gosec // Faults are seeded, not secret.
		network: fakewk.NewNetwork(), result: result,
	}
	for i := range workers {
		fake := fakewk.New(id(i), perWorker)
		r.fakes = append(r.fakes, fake)
		r.network.Add(string(id(i)), fake)
	}
	r.driver = &gang.Driver{
		Worker: &worker.Client{Timeout: callTimeout, Do: r.do}, Times: gang.DefaultTimes(), StartAndUndo: undo,
		Address:  func(id model.WorkerID) (string, bool) { return string(id), true },
		MayStart: func() *reply.Error { return nil },
		Record: func(_ context.Context, record jobs.Record) (jobs.Record, error) {
			time.Sleep(recordTime)
			record.Version++
			return record, nil
		},
	}
	return r
}

func id(i int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%02d", i)) }

// do sends a call and follows the reservations that it makes and ends.
func (r *rig) do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, fmt.Errorf("reading the call: %w", err)
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	res, err := r.network.Do(req)
	var message struct {
		Reservation  model.ReservationID `json:"reservation"`
		Accelerators model.Accelerators  `json:"accelerators"`
	}
	if decodeErr := json.Unmarshal(body, &message); decodeErr != nil {
		return nil, fmt.Errorf("decoding the call: %w", decodeErr)
	}
	refused := err == nil && res.StatusCode != http.StatusOK
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, dead := r.diedAt[req.URL.Host]; dead && err == nil {
		// The stand-in answers calls that reached it before its death.
		return nil, errors.Join(errDead, res.Body.Close())
	}
	now := time.Now()
	held, found := r.holds[message.Reservation]
	switch op := strings.TrimPrefix(req.URL.Path, "/v1/"); {
	case op == "reserve" && !refused && !found:
		// A call without an answer may have been applied, and then holds until it expires.
		r.holds[message.Reservation] = &hold{accelerators: message.Accelerators, from: now, to: now.Add(gang.DefaultTimes().ReserveTTL)}
	case (op == "release" || op == "start") && found && err == nil && !refused && now.Before(held.to):
		held.to = now
	}
	return res, err
}

var errDead = errors.New("worker died before it answered")

// one starts one gang under its faults and waits until all leases have ended.
func (r *rig) one(ctx context.Context, n int, mix Mix) {
	record, members := r.newGang(n)
	r.holds, r.runs, r.diedAt = map[model.ReservationID]*hold{}, nil, map[string]time.Time{}
	dies := r.inject(mix, members)
	began := time.Now()
	_, err := r.driver.Start(ctx, record)
	took := time.Since(began)
	if err == nil {
		time.Sleep(runFor)
		r.driver.Stop(ctx, record, worker.ModeKill, 0)
	}
	time.Sleep(leasesEnd)
	dies.Wait()
	r.account(record, err == nil, took)
	for _, fake := range r.fakes {
		fake.Set(fakewk.Faults{})
	}
}

func (r *rig) newGang(n int) (jobs.Record, []int) {
	members := r.random.Perm(workers)[:smallest+r.random.IntN(largest-smallest+1)]
	job := model.JobID(fmt.Sprintf("gang-%d", n))
	record := jobs.Record{
		Spec: jobs.Spec{ID: job, RunTime: model.Duration(time.Hour)}, State: jobs.StateQueued, DataCentre: "dc", Token: 1,
	}
	for i, member := range members {
		name := fmt.Sprintf("%s/%d", job, i)
		record.Placement = append(record.Placement, jobs.Placement{
			Task: model.TaskID(name), Reservation: model.ReservationID(name), Worker: id(member), Accelerators: perWorker,
		})
	}
	return record, members
}

// inject draws the faults of the members. A member that refuses does so at the first call that asks it for accelerators.
func (r *rig) inject(mix Mix, members []int) *sync.WaitGroup {
	victim := members[r.random.IntN(len(members))]
	hangs, dies := r.random.Float64() < mix.Hang, r.random.Float64() < mix.Die
	window := reserveWindow
	if r.driver.StartAndUndo {
		window = undoWindow
	}
	at := time.Duration(r.random.Float64() * float64(window))
	for _, member := range members {
		faults := fakewk.Faults{DelayMs: 1 + r.random.IntN(slowestDelay)}
		if r.random.Float64() < mix.Refuse {
			faults.Refuse = true
			if r.driver.StartAndUndo {
				faults.RefuseStart = 1
			}
		}
		if r.random.Float64() < mix.Lose {
			faults.LoseAnswers = 1
		}
		faults.Hang = hangs && member == victim
		r.fakes[member].Set(faults)
	}
	group := &sync.WaitGroup{}
	if dies {
		group.Go(func() {
			time.Sleep(at)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.runs = append(r.runs, r.fakes[victim].Runs()...)
			r.diedAt[string(id(victim))] = time.Now()
			r.fakes[victim].Set(fakewk.Faults{Dead: true})
		})
	}
	return group
}

// account adds up what the tasks and reservations of a gang took.
func (r *rig) account(record jobs.Record, started bool, took time.Duration) {
	r.result.Gangs++
	ran := 0.0
	add := func(run fakewk.Run, ended time.Time) {
		if run.Job == record.Spec.ID {
			ran += max(0, ended.Sub(run.Started).Seconds()) * float64(run.Accelerators)
		}
	}
	for at, fake := range r.fakes {
		diedAt, died := r.diedAt[string(id(at))]
		if died {
			for _, run := range r.runs {
				add(run, diedAt)
			}
			continue
		}
		for _, run := range fake.Runs() {
			add(run, run.Ended)
		}
	}
	if started {
		r.result.Started++
		if err := r.result.Start.RecordValue(max(1, took.Microseconds())); err != nil {
			r.result.err = fmt.Errorf("recording a start: %w", err)
		}
		return
	}
	if ran > 0 {
		r.result.Partial++
		r.result.Wasted += ran
	}
	for _, held := range r.holds {
		r.result.Reserved += held.to.Sub(held.from).Seconds() * float64(held.accelerators)
	}
}
