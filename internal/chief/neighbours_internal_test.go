package chief

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// neighbourRig has two workers with room for two tasks each, and steps of the images "victim", "aggressor" and "other".
type neighbourRig struct {
	planner *planner
	workers []*worker
	stages  map[work.Image]*stage
	now     clock.Instant
}

func newNeighbourRig() *neighbourRig {
	r := &neighbourRig{stages: map[work.Image]*stage{}, now: clock.Instant(time.Minute)}
	config := &work.Config{Queues: []work.Queue{{Name: "scan", Pool: "pool", Terms: work.Terms{Priority: 1}}}}
	config.Index()
	c := &Scheduler{
		Config: func() *work.Config { return config }, Log: zerolog.Nop(), Now: func() clock.Instant { return r.now },
		Observe: Observer{InterferingPairs: func(int) {}},
	}
	c.interference.OnChange = c.noteInterference
	r.planner = &planner{c: c, config: config, now: r.now}
	for i := range 2 {
		w := &worker{runs: map[runKey]*run{}, info: work.WorkerInfo{
			ID: model.WorkerID(rune('a' + i)), Pool: "pool", Capacity: work.Resources{CPU: 2000, Memory: 1000},
		}}
		w.available = w.info.Capacity
		r.workers = append(r.workers, w)
	}
	for _, image := range []work.Image{"victim", "aggressor", "other"} {
		j := &job{spec: &work.Job{ID: model.JobID(image), Queue: "scan", Pool: "pool", Steps: []work.Step{
			{Count: 4, Need: work.Resources{CPU: 1000}, Image: image, Estimate: 10 * time.Second},
		}}}
		s := &stage{job: j, step: &j.spec.Steps[0], noisyKind: noisyKindOf(j.spec, &j.spec.Steps[0]), tasks: make([]task, 4), runsOn: map[*worker]int{}}
		for index := range s.tasks {
			s.tasks[index].stage, s.tasks[index].index = s, index
		}
		r.stages[image] = s
	}
	return r
}

// start puts a run of an image on a worker.
func (r *neighbourRig) start(image work.Image, index int, w *worker) *run {
	t := &r.stages[image].tasks[index]
	started := &run{key: runKey{task: work.TaskID{StepID: work.StepID{Job: model.JobID(image)}, Index: index}}, task: t, worker: w, phase: running, pace: fullPace, startedAt: r.now}
	w.runs[started.key] = started
	w.neighbours.add(started, 1, r.now)
	w.available = w.available.Sub(r.stages[image].step.Need)
	w.used = w.used.Add(r.stages[image].step.Need)
	return started
}

func (r *neighbourRig) end(ended *run) {
	delete(ended.worker.runs, ended.key)
	ended.worker.neighbours.add(ended, -1, r.now)
}

// work lets a run make progress at a rate, in percent per second, as its worker's reports show.
func (r *neighbourRig) work(of *run, rate float64, seconds int) {
	for range seconds {
		r.now = r.now.Add(time.Second)
		before := of.sampledAt
		of.updateRate(of.percent, r.now)
		of.rate = rate
		r.planner.c.sampleNeighbours(of, before, r.now)
	}
}

// learn lets victims run with and without an aggressor beside them.
func (r *neighbourRig) learn(runs int, slowdown float64) {
	for index := range runs {
		victim := r.start("victim", index%4, r.workers[0])
		r.work(victim, 10, 8)
		aggressor := r.start("aggressor", 0, r.workers[0])
		r.work(victim, 10/slowdown, 8)
		r.end(aggressor)
		r.end(victim)
		r.workers[0].available, r.workers[0].used = r.workers[0].info.Capacity, work.Resources{}
	}
}

// Answers a fleet on which one image slows another down: the two are kept apart where there is room, and share a worker where there is not.
func TestTasksThatSlowEachOtherDownAreKeptApartWhereThereIsRoom(t *testing.T) {
	for name, row := range map[string]struct {
		slowdown float64
		image    work.Image
		apart    bool
	}{
		"known pair":                  {1.6, "victim", true},
		"image that disturbs nothing": {1.6, "other", false},
		"pair without an effect":      {1, "victim", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newNeighbourRig()
			r.learn(20, row.slowdown)
			r.start("aggressor", 1, r.workers[0])
			s := r.stages[row.image]
			tightest := r.workers[0]
			chosen := r.planner.tightestFit(s, r.workers, s.step.Need)
			if !row.apart {
				g.Expect(chosen).To(BeIdenticalTo(tightest))
				return
			}
			g.Expect(chosen).To(BeIdenticalTo(r.workers[1]))
			places := r.planner.placeTasks(s, r.workers, 2, availableNow)
			g.Expect(places).To(Equal([]*worker{r.workers[1], r.workers[1]}), "a gang avoids the worker, too")
			r.workers[1].available = work.Resources{}
			g.Expect(r.planner.tightestFit(s, r.workers, s.step.Need)).To(BeIdenticalTo(tightest), "no task stands for it")
		})
	}
}

// Guards against a change of neighbours within a sample, a reduced pace or a run's start that counts as an effect of its neighbours.
func TestSamplesWithoutAClearCauseAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	r := newNeighbourRig()
	for index := range 20 {
		victim := r.start("victim", index%4, r.workers[0])
		for range 6 {
			r.work(victim, 10, 1)
			slowed := r.start("aggressor", 0, r.workers[0])
			slowed.pace = 30
			r.work(victim, 5, 1)
			r.end(slowed)
		}
		r.end(victim)
	}
	g.Expect(r.planner.c.interference.Certain()).To(BeZero())
}

// Answers a serving task beside two images that fill, of which one is known to disturb it: only that one is slowed down.
func TestPaceSlowsTheAggressorFirst(t *testing.T) {
	g := NewWithT(t)
	r := newNeighbourRig()
	r.learn(20, 1.6)
	serving := r.start("victim", 0, r.workers[0])
	serving.task.stage.step.TailTarget, serving.tailLatency = 100*time.Millisecond, 200
	r.stages["aggressor"].step.Fills, r.stages["other"].step.Fills = true, true
	aggressor, other := r.start("aggressor", 0, r.workers[0]), r.start("other", 0, r.workers[0])
	c := r.planner.c
	load, worst := r.workers[0].worstServing()
	g.Expect(load).To(Equal(2.0))
	g.Expect(worst).To(BeIdenticalTo(serving))
	g.Expect(c.nextPaces(r.workers[0], load, serving)).To(Equal(map[*run]int{aggressor: paceReduced}))
	aggressor.pace = paceReduced
	g.Expect(c.nextPaces(r.workers[0], load, serving)).To(Equal(map[*run]int{aggressor: 0}))
	aggressor.pace = 0
	g.Expect(c.nextPaces(r.workers[0], load, serving)).To(Equal(map[*run]int{other: paceReduced}), "that has not helped")
}
