package chief_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// adviceService issues tickets, and handles one call at a time.
type adviceService struct {
	timing  work.AdviceTiming
	allows  func(model.WorkerID) bool // nil for all workers
	answers func(call int) error      // nil if all calls are answered
	turn    chan struct{}             // holds one element while no call is handled

	mu         sync.Mutex           // guards the fields below
	fromCall   bool                 // tickets are valid from the call's arrival instead of the answer
	tickets    map[string]time.Time // when they expire
	calls      int                  // that have begun
	rejections int                  // of starts
}

// advised makes the service advise on all queues but the urgent one, with a timing that the configuration says, and its tickets necessary.
func (e *testEnv) advised(service *adviceService, said work.AdviceTiming) {
	service.turn, service.tickets = make(chan struct{}, 1), map[string]time.Time{}
	service.turn <- struct{}{}
	for i := range e.config.Queues {
		if e.config.Queues[i].Name != "check" {
			e.config.Queues[i].Advised, e.config.Queues[i].Advice = true, said
		}
	}
	e.advise = service.advise
	e.fleet.Permits = service.permits
}

func (s *adviceService) advise(ctx context.Context, step work.StepID, workers []model.WorkerID) (map[model.WorkerID]string, time.Duration, error) {
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.mu.Unlock()
	if s.answers != nil {
		if err := s.answers(call); err != nil {
			return nil, 0, err
		}
	}
	<-s.turn
	defer func() { s.turn <- struct{}{} }()
	arrived := time.Now()
	if err := clock.Sleep(ctx, s.timing.Decision+time.Duration(len(workers))*s.timing.PerWorker); err != nil {
		return nil, 0, err
	}
	from := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fromCall {
		from = arrived
	}
	tickets := map[model.WorkerID]string{}
	for _, worker := range workers {
		if s.allows != nil && !s.allows(worker) {
			continue
		}
		tickets[worker] = fmt.Sprintf("%s %s %d", step, worker, call)
		s.tickets[tickets[worker]] = from.Add(s.timing.Valid)
	}
	return tickets, s.timing.Valid, nil
}

// permits reports whether a ticket holds for a task on a worker now.
func (s *adviceService) permits(task, worker, ticket string) bool {
	if task[0] == 'f' {
		return true // It is of a queue without advice.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.tickets[ticket]
	ok := found && time.Now().Before(until) && strings.HasPrefix(ticket, task[:strings.LastIndex(task, ".")]+" "+worker+" ")
	if !ok {
		s.rejections++
	}
	return ok
}

func (s *adviceService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *adviceService) rejectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejections
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Pattern: a call for advice takes a good part of the time for which its tickets are valid, or all of it. Guards against tickets that count as
// expired in the moment of their arrival, and against jobs that ask for new ones for ever and never start.
func TestJobsStartWhereCallsForAdviceTakeLong(t *testing.T) {
	for _, c := range []work.AdviceTiming{
		{Decision: ms(400), PerWorker: ms(75), Valid: ms(3000)},
		{Decision: ms(250), PerWorker: ms(10), Valid: ms(1000)},
		{Decision: ms(100), PerWorker: ms(10), Valid: ms(3000)},
		{Decision: ms(50), PerWorker: ms(10), Valid: ms(500)},
		{Decision: ms(50), PerWorker: ms(1), Valid: ms(100)},
		{Decision: ms(1500), PerWorker: ms(0), Valid: ms(1000)},
		{Decision: ms(0), PerWorker: ms(300), Valid: ms(1000)},
	} {
		t.Run(fmt.Sprintf("decision %v, each worker %v, valid %v", c.Decision, c.PerWorker, c.Valid), func(t *testing.T) {
			withTestEnv(t, 48, func(env *testEnv) {
				service := &adviceService{timing: c}
				env.advised(service, c)
				env.start("a", nil)
				env.sleep(3 * time.Second)
				for i := range 3 {
					id := fmt.Sprintf("00000000000000c%d", i)
					env.submit(newJob(id, "scan", 4, 1))
					env.await(3*time.Second, "the job starts", func() bool { return env.begun(model.JobID(id), 4) })
				}
				env.Expect(service.rejectionCount()).To(BeZero())
			})
		})
	}
}

// Pattern: many steps wait behind the one call that the service handles at a time. Guards against a call that names many more workers than its
// step needs while others wait.
func TestManyStepsShareTheAdviceService(t *testing.T) {
	withTestEnv(t, 48, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(200), PerWorker: ms(50), Valid: ms(2000)}
		service := &adviceService{timing: timing}
		env.advised(service, timing)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		const jobs = 10
		for i := range jobs {
			env.submit(newJob(fmt.Sprintf("00000000000000c%d", i), "scan", 4, 1))
		}
		// Each needs one call, which takes at most twice the time of a decision.
		env.await(jobs*2*timing.Decision+time.Second, "all jobs start", func() bool {
			for i := range jobs {
				if !env.begun(model.JobID(fmt.Sprintf("00000000000000c%d", i)), 4) {
					return false
				}
			}
			return true
		})
		env.Expect(service.callCount()).To(Equal(jobs))
	})
}

// Pattern: a guarantee is claimed on a queue with advice while all workers are full. Guards against calls that name all workers since none has room.
func TestGuaranteedWorkGetsItsTicketsOnAFullPool(t *testing.T) {
	withTestEnv(t, 48, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(400), PerWorker: ms(75), Valid: ms(3000)}
		service := &adviceService{timing: timing}
		env.advised(service, timing)
		for i := range env.config.Queues {
			urgent := env.config.Queues[i].Name == "check"
			env.config.Queues[i].Advised = urgent
			if urgent {
				env.config.Queues[i].Advice = timing
			}
		}
		env.fleet.Outcome = runsOf(time.Second)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("f000000000000001", "tally", 48, 8))
		env.await(2*time.Second, "the pool is full", func() bool { return env.atWork("f000000000000001", 48) == 48 })
		env.submit(newJob("00000000000000c0", "check", 16, 1))
		env.await(reclaimBound, "the guaranteed tasks start", func() bool { return env.begun("00000000000000c0", 16) })
	})
}

// Guards against a gang that is wider than a usual call, whose first tickets expire before the last ones arrive.
func TestWideGangGetsItsTicketsTogether(t *testing.T) {
	withTestEnv(t, 48, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(100), PerWorker: ms(20), Valid: ms(700)}
		service := &adviceService{timing: timing}
		env.advised(service, timing)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		const id = "00000000000000c0"
		env.submit(env.asGang(newJob(id, "scan", 40, 8)))
		env.await(3*time.Second, "the gang runs", func() bool { return env.begun(id, 40) })
		env.Expect(service.rejectionCount()).To(BeZero())
	})
}

// Guards against tickets that count as expired because the service takes longer than the configuration says, or says so after the call was
// made.
func TestJobsStartWhereAdviceIsSlowerThanStated(t *testing.T) {
	withTestEnv(t, 48, func(env *testEnv) {
		said := work.AdviceTiming{Decision: ms(50), PerWorker: ms(5), Valid: ms(1000)}
		service := &adviceService{timing: work.AdviceTiming{Decision: ms(1500), PerWorker: ms(30), Valid: ms(1000)}}
		env.advised(service, said)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("00000000000000c0", "scan", 4, 1))
		env.await(4*time.Second, "the job starts", func() bool { return env.begun("00000000000000c0", 4) })
		changed := testConfig()
		changed.Version = 2
		for i := range changed.Queues {
			changed.Queues[i].Advised, changed.Queues[i].Advice = true, service.timing
		}
		env.submit(newJob("00000000000000c1", "scan", 4, 1))
		env.sleep(100 * time.Millisecond) // The call is out.
		env.inForce.Store(changed)
		env.await(4*time.Second, "the next job starts", func() bool { return env.begun("00000000000000c1", 4) })
	})
}

// Guards against calls without an end, one after the other, for tickets that can't be used in time.
func TestAdviceThatNeverFitsIsAskedForLessAndLess(t *testing.T) {
	withTestEnv(t, 8, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(300), PerWorker: ms(10), Valid: ms(100)}
		service := &adviceService{timing: timing, fromCall: true}
		env.advised(service, timing)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("00000000000000c0", "scan", 1, 1))
		env.sleep(time.Minute)
		env.Expect(service.callCount()).To(And(BeNumerically(">=", 5), BeNumerically("<=", 12)))
		env.Expect(service.rejectionCount()).To(BeNumerically("<=", 12))
		service.mu.Lock()
		service.fromCall = false
		service.mu.Unlock()
		env.await(12*time.Second, "the job starts once its tickets hold", func() bool { return env.begun("00000000000000c0", 1) })
	})
}

// Guards against a service that was silent, or refused calls, and that is not asked again once it answers.
func TestAdviceIsAskedForAgainAfterAnOutage(t *testing.T) {
	withTestEnv(t, 8, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(50), PerWorker: ms(5), Valid: ms(1000)}
		began := time.Now()
		service := &adviceService{timing: timing, answers: func(int) error {
			if time.Since(began) < 20*time.Second {
				return errors.New("the service does not answer")
			}
			return nil
		}}
		env.advised(service, timing)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("00000000000000c0", "scan", 1, 1))
		env.await(17*time.Second+10*time.Second, "the job starts", func() bool { return env.begun("00000000000000c0", 1) })
		env.Expect(service.callCount()).To(BeNumerically("<=", 10))
	})
}

// Guards against a job that never starts since the service has denied all workers once, and against calls for workers that were denied a moment ago.
func TestDeniedWorkersAreAskedForAgainLater(t *testing.T) {
	withTestEnv(t, 8, func(env *testEnv) {
		timing := work.AdviceTiming{Decision: ms(50), PerWorker: ms(5), Valid: ms(1000)}
		began := time.Now()
		service := &adviceService{timing: timing, allows: func(model.WorkerID) bool { return time.Since(began) > 8*time.Second }}
		env.advised(service, timing)
		env.start("a", nil)
		env.sleep(3 * time.Second)
		env.submit(newJob("00000000000000c0", "scan", 1, 1))
		env.await(12*time.Second, "the job starts", func() bool { return env.begun("00000000000000c0", 1) })
		env.Expect(service.callCount()).To(BeNumerically("<=", 4))
	})
}
