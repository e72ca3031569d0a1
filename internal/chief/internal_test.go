package chief

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Guards against a last attempt that waits for ever for ends that a worker will not list in this term.
func TestUnreadableListIsNotWaitedFor(t *testing.T) {
	g := NewWithT(t)
	c := &Scheduler{Workers: &agent.Calls{MaxListedEnds: 2}, Limits: Limits{MaxLease: 6 * time.Second}}
	w := &worker{info: work.WorkerInfo{ID: "w"}, registered: true, roster: true, unackableEnd: 1, listedEnds: 2, clock: 1, clockReadAt: 1}
	p := &planner{c: c, unseenRuns: map[model.WorkerID]bool{}, unseenEnds: map[model.WorkerID]bool{}}
	p.now = clock.Instant(5 * time.Second)
	p.noteUnseen(w)
	g.Expect(p.unseenRuns).To(HaveKey(w.info.ID), "its leases may still hold")
	g.Expect(p.unseenEnds).To(HaveKey(w.info.ID), "its leases may still hold")
	clear(p.unseenRuns)
	clear(p.unseenEnds)
	p.now = clock.Instant(8 * time.Second)
	p.noteUnseen(w)
	g.Expect(p.unseenRuns).To(BeEmpty())
	g.Expect(p.unseenEnds).To(BeEmpty())
	w.unackableEnd = 0
	p.noteUnseen(w)
	g.Expect(p.unseenEnds).To(HaveKey(w.info.ID), "the rest of its list can still be read")
}

// Guards against runs that count as running for ever on a worker that answers, but cannot list their ends.
func TestRunsWhoseEndsCannotBeListedAreGivenUp(t *testing.T) {
	g := NewWithT(t)
	c := &Scheduler{
		Workers: &agent.Calls{MaxListedEnds: 2}, Limits: Limits{MaxLease: 6 * time.Second},
		Observe: Observer{RunEnded: func(work.How) {}}, TermValid: func() bool { return false },
		WallClock: time.Now,
	}
	now := clock.Instant(5 * time.Second)
	c.Now = func() clock.Instant { return now }
	w := &worker{info: work.WorkerInfo{ID: "w"}, registered: true, polled: true, unackableEnd: 1, listedEnds: 2, clock: 1, clockReadAt: 1}
	r := &run{key: runKey{number: 1}, worker: w, phase: running}
	w.runs = map[runKey]*run{r.key: r}
	c.checkWorker(w, now)
	g.Expect(w.runs).To(HaveLen(1), "its leases may still hold")
	now = clock.Instant(8 * time.Second)
	c.checkWorker(w, now)
	g.Expect(w.runs).To(BeEmpty())
}

// Guards against a start on a worker that came back at another address, before the stored roster has it: no successor would look there.
func TestNoStartBeforeTheRosterHasTheAddress(t *testing.T) {
	g := NewWithT(t)
	c := &Scheduler{OutOfService: func(model.DataCentreID) bool { return false }}
	c.roster.entries = map[model.WorkerID]rosterEntry{"w": {ID: "w", Address: "old:1"}}
	w := &worker{info: work.WorkerInfo{ID: "w", Address: "old:1"}, registered: true}
	g.Expect(c.whyNotStart(&run{worker: w})).To(BeEmpty())
	w.info.Address = "new:1"
	g.Expect(c.whyNotStart(&run{worker: w})).NotTo(BeEmpty())
}

// Guards against a pace that returns to full speed in one step beside a serving task, or that never drops to 0.
func TestNextPace(t *testing.T) {
	for _, c := range []struct {
		name  string
		pace  int
		worst float64
		want  int
	}{
		{name: "far below the target", pace: 30, worst: 0.2, want: 55},
		{name: "at full speed", pace: 100, worst: 0.2, want: 100},
		{name: "between the thresholds", pace: 30, worst: 0.7, want: 30},
		{name: "near the target at full speed", pace: 100, worst: 0.95, want: 30},
		{name: "above the target at reduced speed", pace: 30, worst: 1.2, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(nextPace(c.pace, c.worst)).To(Equal(c.want))
		})
	}
}

// Guards against ends of a worker that restarted under its id that are never acknowledged or never read, and against leases that seem
// to hold for ever: numbers and clocks of its earlier incarnation counted for the new one.
func TestAnswersAreOfOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	orders := make(chan agent.PollOrder, 2)
	c := &Scheduler{
		Limits: Limits{MaxLease: 6 * time.Second}, Now: func() clock.Instant { return clock.Instant(time.Hour) },
		TermValid: func() bool { return false }, Log: zerolog.Nop(),
		Observe: Observer{CallResult: func(string, string) {}, RunEnded: func(work.How) {}},
		posts:   make(chan func(), 1), ctx: t.Context(), jobsLoaded: true,
	}
	c.Workers = &agent.Calls{
		MaxListedEnds: 500,
		Poll: func(_ context.Context, _ agent.Target, order agent.PollOrder) (work.Report, error) {
			orders <- order
			return work.Report{}, nil
		},
	}
	w := &worker{
		info: work.WorkerInfo{ID: "w"}, registered: true, polled: true, born: 1, runs: map[runKey]*run{},
		handledEnd: 57, durableEnd: 57, ackedEnd: 50,
	}
	sent := pollSent{order: agent.PollOrder{Seen: 57}, born: 1, at: c.Now()}
	c.handlePollReport(w, sent, work.Report{Born: 2, Clock: 1}, nil)
	g.Expect(w.ackedEnd).To(BeZero(), "the restart is learned of from the answer")

	w.born, w.ackedEnd = 3, 0
	c.handlePollReport(w, sent, work.Report{Born: 3, Clock: 1}, nil)
	g.Expect(w.ackedEnd).To(BeZero(), "the restart was learned of from the registry before the answer")

	c.handlePollReport(w, sent, work.Report{Born: 2, Clock: 600_000, Ended: []work.End{{Number: 57, How: work.EndedDone}}}, nil)
	g.Expect(w.handledEnd).To(BeZero(), "the answer is of the earlier incarnation")
	g.Expect(w.clock).To(Equal(work.WorkerClock(1)), "and so is its clock")
	r := &run{key: runKey{number: 1}, worker: w, phase: stopping, sentToBorn: 2}
	w.runs[r.key] = r
	c.handleStopResult(r, 600_000, nil)
	g.Expect(w.clock).To(Equal(work.WorkerClock(1)), "as is that of the answer to an order")
	delete(w.runs, r.key)

	c.handlePollReport(w, pollSent{born: 3}, work.Report{Born: 2, Clock: 5}, nil)
	g.Expect(w.clock).To(Equal(work.WorkerClock(5)), "its registration, by another writer, names a later start than its own")

	w.handledEnd, w.durableEnd = 2, 0
	c.ackEnds(map[*worker]storedEnd{w: {number: 1, born: 2}})
	g.Expect(w.durableEnd).To(BeZero(), "the end that was stored is of the earlier incarnation")

	c.TermValid = func() bool { return true }
	w.durableEnd, w.missedCalls, w.nextPollAt = 2, 1, 0
	c.pollIfDue(w)
	(<-c.posts)()
	g.Expect((<-orders).Seen).To(BeZero(), "after a call without an answer, the incarnation is in doubt")
	g.Expect((<-orders).Seen).To(Equal(work.EndNumber(2)))
}

// Guards against a worker that gets no starts, and runs that count as ended while they go on, after it restarted under its id at another
// address: a call to its earlier address was answered by the worker there now.
func TestAnswerFromAnEarlierAddressDoesNotEndAWorker(t *testing.T) {
	g := NewWithT(t)
	c := &Scheduler{
		Workers: &agent.Calls{MaxListedEnds: 500}, Now: func() clock.Instant { return clock.Instant(time.Hour) }, Log: zerolog.Nop(),
		TermValid: func() bool { return false }, posts: make(chan func(), 1), ctx: t.Context(),
		Observe: Observer{CallResult: func(string, string) {}, RunEnded: func(work.How) {}},
	}
	w := &worker{info: work.WorkerInfo{ID: "w", Address: "new:1"}, registered: true, polled: true, born: 2}
	r := &run{key: runKey{number: 1}, worker: w, phase: running, ackedAt: 1}
	w.runs = map[runKey]*run{r.key: r}
	gone := &agent.GoneError{ID: "w"}
	c.handlePollReport(w, pollSent{born: 1}, work.Report{}, gone)
	g.Expect(w.registered).To(BeTrue())
	g.Expect(w.runs).To(HaveLen(1))
	old := &run{key: runKey{number: 2}, worker: w, phase: starting, sentToBorn: 1}
	w.runs[old.key] = old
	c.handleStartResult(old, agent.StartOrder{}, 0, gone)
	g.Expect(w.registered).To(BeTrue())
	g.Expect(w.runs).To(HaveKey(r.key))
	g.Expect(w.runs).NotTo(HaveKey(old.key), "it certainly did not start")
	old.phase = stopping
	w.runs[old.key] = old
	c.handleStopResult(old, 0, gone)
	g.Expect(w.runs).To(HaveKey(r.key))
	g.Expect(old.ackedAt).NotTo(BeZero(), "the next poll ends it")
	c.handlePollReport(w, pollSent{born: 2}, work.Report{}, gone)
	g.Expect(w.registered).To(BeFalse())
	g.Expect(w.runs).To(BeEmpty())
}

// Guards against a mean run time that includes gangs spread over racks, which take several times longer: the last member that ends has no
// others beside it. Later jobs of the queue would wait for a rack for as many times longer.
func TestRunTimesLeaveOutSpreadGangs(t *testing.T) {
	g := NewWithT(t)
	now := clock.Instant(time.Hour)
	c := &Scheduler{Now: func() clock.Instant { return now }}
	worker := func(rack work.Label) *worker { return &worker{info: work.WorkerInfo{Labels: []work.Label{rack}}} }
	for _, racks := range [][]work.Label{{"r1", "r1"}, {"r1", "r2"}} {
		s := &stage{job: &job{spec: &work.Job{Queue: "scan"}}, step: &work.Step{Gang: true, SameRack: true}}
		members := &gang{stage: s, members: map[*run]bool{}}
		for _, rack := range racks {
			members.add(&run{worker: worker(rack), gang: members, fromStart: true, createdAt: now.Add(-time.Second)})
		}
		for r := range members.members {
			delete(members.members, r)
			c.recordRunTime(s, r)
		}
	}
	g.Expect(c.speeds.Runs(speed.Kind{Queue: "scan"})).To(Equal(2), "the two members of the gang in one rack")
}

// Guards against a last attempt while a worker, silent for long, may hold a failure that counts: its answers are lost, and the calls that
// reach it extend its leases.
func TestEndsOfASilentWorkerCountWhileItsLeasesAreExtended(t *testing.T) {
	g := NewWithT(t)
	now := clock.Instant(time.Hour)
	c := &Scheduler{Limits: Limits{MaxLease: 6 * time.Second}}
	p := &planner{c: c, now: now}
	w := &worker{missedCalls: 9, reportedAt: now.Add(-time.Minute), clock: 1000, clockReadAt: now.Add(-time.Minute), leaseUntil: 64000}
	g.Expect(p.mayListEndsThatCount(w)).To(BeTrue(), "its lease ends in 3 s")
	p.now = now.Add(10 * time.Second)
	g.Expect(p.mayListEndsThatCount(w)).To(BeFalse(), "its lease has ended")
}
