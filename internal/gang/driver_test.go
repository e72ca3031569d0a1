package gang_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/gang"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// fixture is a driver with fake workers that keeps the last stored record in memory.
type fixture struct {
	driver  *gang.Driver
	workers []*fakewk.Server
	network *memnet.Net
	stored  jobs.Record
	// recordErrors holds the error that writing a record in a state returns.
	recordErrors map[jobs.State]error
	// recordDelay is the duration of a write of a record.
	recordDelay time.Duration
}

func newFixture(workers int) *fixture {
	f := &fixture{network: memnet.New(), recordErrors: map[jobs.State]error{}}
	for i := range workers {
		fake := fakewk.New(model.WorkerID(fmt.Sprint("w", i)), 8)
		f.workers = append(f.workers, fake)
		f.network.SetHandler(memnet.Host(fake.ID), fake)
	}
	f.driver = f.newDriver()
	return f
}

func (f *fixture) newDriver() *gang.Driver {
	return &gang.Driver{
		Worker:     &worker.Client{Timeout: 2 * time.Second, Do: f.network.Transport("driver").RoundTrip},
		Address:    func(id model.WorkerID) (string, bool) { return string(id), true },
		MayStart:   func() *reply.Error { return nil },
		TimeLimits: gang.DefaultTimeLimits(),
		Record: func(_ context.Context, record jobs.Record) (jobs.Record, error) {
			time.Sleep(f.recordDelay)
			if err := f.recordErrors[record.State]; err != nil {
				return jobs.Record{}, err
			}
			record.Version++
			f.stored = record
			return record, nil
		},
	}
}

// record returns a queued job with one task of 8 accelerators on each worker.
func (f *fixture) record(id model.JobID, token model.Token) jobs.Record {
	record := jobs.Record{
		Spec: jobs.Spec{ID: id, RunTime: model.Duration(time.Hour)}, State: jobs.StateQueued, DataCentre: "dc", Token: token,
	}
	for i, fake := range f.workers {
		name := fmt.Sprintf("%s/%d", id, i)
		record.Placement = append(record.Placement, jobs.Placement{
			Task: model.TaskID(name), Reservation: model.ReservationID(name), Worker: fake.ID, Accelerators: 8,
		})
	}
	return record
}

// running counts the tasks that hold accelerators, and wasted sums the accelerator time of tasks that were killed.
func (f *fixture) running() (running int, wasted time.Duration) {
	for _, fake := range f.workers {
		for _, run := range fake.Runs() {
			if !run.State.Ended() {
				running++
				continue
			}
			wasted += run.Ended.Sub(run.Started) * time.Duration(run.Accelerators)
		}
	}
	return running, wasted
}

var _ = Describe("Start", func() {
	// Guards against gangs that run in part because one worker is full (P2); start-and-undo does run in part.
	DescribeTable("with one worker that is full", func(startAndUndo bool) {
		inVirtualTime(func() {
			f := newFixture(4)
			f.driver.StartAndUndo = startAndUndo
			f.workers[3].Accelerators = 4
			for _, fake := range f.workers[3:] {
				fake.Set(fakewk.Faults{DelayMs: 1000})
			}
			_, err := f.driver.Start(context.Background(), f.record("j", 1))
			Expect(err).To(HaveOccurred())
			running, wasted := f.running()
			Expect(running).To(BeZero())
			Expect(wasted > 0).To(Equal(startAndUndo), "accelerator time: %v", wasted)
			var notStarted *gang.NotStartedError
			Expect(errors.As(err, &notStarted)).To(Equal(!startAndUndo))
			if !startAndUndo {
				Expect(notStarted.Worker).To(BeEquivalentTo("w3"))
			}
			f.workers[3].Accelerators = 8
			time.Sleep(time.Second)
			_, err = f.driver.Start(context.Background(), f.record("k", 1))
			Expect(err).NotTo(HaveOccurred(), "the reservations were released")
		})
	},
		Entry("reserve, record, start", false), Entry("start and undo", true),
	)

	// Guards against starts on reservations that are about to expire.
	DescribeTable("checks the time left", func(minLeft time.Duration, started bool) {
		inVirtualTime(func() {
			f := newFixture(4)
			f.driver.TimeLimits.MinLeft = minLeft
			f.driver.TimeLimits.Reserve = 9 * time.Second
			f.driver.Worker.Timeout = 10 * time.Second
			f.workers[0].Set(fakewk.Faults{DelayMs: 9000})
			f.recordDelay = 6500 * time.Millisecond
			_, err := f.driver.Start(context.Background(), f.record("j", 1))
			if started {
				var partial *gang.PartialError
				Expect(errors.As(err, &partial)).To(BeTrue(), "without the check a reservation expires during the start: %v", err)
				return
			}
			Expect(err).To(MatchError(ContainSubstring("time-left")))
			Expect(f.stored.State).To(BeEmpty(), "nothing was recorded")
		})
	},
		Entry("refused with the check", 8*time.Second, false), Entry("started without the check", time.Duration(0), true),
	)

	// Guards against lost answers that start tasks twice or leave accelerators reserved.
	It("resolves lost answers of workers", func() {
		inVirtualTime(func() {
			f := newFixture(4)
			for _, fake := range f.workers {
				fake.Set(fakewk.Faults{LoseAnswers: 2})
			}
			record, err := f.driver.Start(context.Background(), f.record("j", 1))
			Expect(err).NotTo(HaveOccurred())
			Expect(record.State).To(Equal(jobs.StateRunning))
			running, _ := f.running()
			Expect(running).To(Equal(4))
			outcome := f.driver.Stop(context.Background(), record, worker.ModeCheckpoint, 5*time.Second)
			Expect(outcome.Stopped).To(BeTrue())
		})
	})

	// Guards against starts when it is unknown whether the decision was recorded.
	It("starts nothing when the record is in doubt, and the reservations expire", func() {
		inVirtualTime(func() {
			f := newFixture(4)
			f.recordErrors[jobs.StateStarting] = &store.UnavailableError{Op: "put", MaybeApplied: true, Cause: errors.New("no answer")}
			_, err := f.driver.Start(context.Background(), f.record("j", 1))
			var inDoubt *gang.RecordInDoubtError
			Expect(errors.As(err, &inDoubt)).To(BeTrue())
			running, _ := f.running()
			Expect(running).To(BeZero())
			time.Sleep(f.driver.TimeLimits.ReserveTTL + time.Second)
			delete(f.recordErrors, jobs.StateStarting)
			_, err = f.driver.Start(context.Background(), f.record("k", 1))
			Expect(err).NotTo(HaveOccurred())
		})
	})

	// Guards against the other tasks of a gang running on after one start was refused.
	It("stops the whole gang after a refused start", func() {
		inVirtualTime(func() {
			f := newFixture(4)
			f.workers[2].Set(fakewk.Faults{RefuseStart: 1, DelayMs: 500})
			_, err := f.driver.Start(context.Background(), f.record("j", 1))
			var partial *gang.PartialError
			Expect(errors.As(err, &partial)).To(BeTrue())
			Expect(partial.Worker).To(BeEquivalentTo("w2"))
			Expect(partial.Stopped).To(BeTrue())
			running, _ := f.running()
			Expect(running).To(BeZero())
		})
	})

	// Guards against any mix of worker faults that leaves a gang running in part for longer than the bound.
	It("leaves no gang running in part under random faults", func() {
		for seed := range 150 {
			gen := rapid.Custom(func(t *rapid.T) []fakewk.Faults {
				faults := make([]fakewk.Faults, 5)
				for i := range faults {
					switch rapid.IntRange(0, 7).Draw(t, "fault") {
					case 0:
						faults[i].Refuse = true
					case 1:
						faults[i].RefuseStart = 1
					case 2:
						faults[i].LoseAnswers = rapid.IntRange(1, 4).Draw(t, "lost")
					case 3:
						faults[i].Hang, faults[i].HangOp = true, rapid.SampledFrom([]string{"reserve", "start", "stop"}).Draw(t, "op")
					case 4:
						faults[i].DelayMs = rapid.IntRange(1, 5000).Draw(t, "delay")
					}
				}
				return faults
			})
			faults := gen.Example(seed)
			inVirtualTime(func() {
				f := newFixture(5)
				for i, fake := range f.workers {
					fake.Set(faults[i])
				}
				_, err := f.driver.Start(context.Background(), f.record("j", 1))
				running, _ := f.running()
				if err == nil {
					Expect(running).To(Equal(5), "seed %d", seed)
				} else {
					time.Sleep(15 * time.Second)
					running, _ = f.running()
					Expect(running).To(BeZero(), "seed %d: %v", seed, err)
				}
				// The leases of a running gang must expire before the virtual clock's test ends.
				time.Sleep(15 * time.Second)
			})
		}
	})
})

var _ = Describe("Fencing", func() {
	// Guards against late messages of a paused owner that reach workers after its successor took over.
	DescribeTable("refuses a late stop of an earlier owner", func(fenced bool) {
		inVirtualTime(func() {
			f := newFixture(3)
			for _, fake := range f.workers {
				fake.Set(fakewk.Faults{NoFence: !fenced})
			}
			record, err := f.driver.Start(context.Background(), f.record("j", 1))
			Expect(err).NotTo(HaveOccurred())
			taken := record
			taken.Token, taken.State = 2, jobs.StateStarting
			_, err = f.newDriver().Recover(context.Background(), taken)
			Expect(err).NotTo(HaveOccurred())
			f.driver.Stop(context.Background(), record, worker.ModeKill, 0)
			running, _ := f.running()
			Expect(running).To(Equal(map[bool]int{true: 3, false: 0}[fenced]))
		})
	},
		Entry("with the token check", true), Entry("without it the successor's gang is killed", false),
	)
})

var _ = Describe("Recover", func() {
	// Guards against a successor that starts the remaining tasks of a gang when other members are gone.
	It("stops all when a reservation has expired", func() {
		inVirtualTime(func() {
			f := newFixture(3)
			f.workers[1].Set(fakewk.Faults{Hang: true, HangOp: "start"})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			f.driver.TimeLimits.Kill = 0
			_, err := f.driver.Start(ctx, f.record("j", 1))
			Expect(err).To(HaveOccurred())
			f.workers[1].Set(fakewk.Faults{})
			time.Sleep(20 * time.Second)
			f.stored.Token = 2
			_, err = f.newDriver().Recover(context.Background(), f.stored)
			var partial *gang.PartialError
			Expect(errors.As(err, &partial)).To(BeTrue())
			Expect(partial.Stopped).To(BeTrue())
			running, _ := f.running()
			Expect(running).To(BeZero())
		})
	})
})
