package chief_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// ticketLife is far longer than a job may stand still.
const ticketLife = time.Minute

// Guards against a job that stands still until its tickets expire because the workers that they name have left.
func TestTicketsOfWorkersThatLeftAreReplaced(t *testing.T) {
	const id model.JobID = "00000000000000b7"
	withTestEnv(t, 1, func(env *testEnv) {
		env.config.Queues[1].Advised = true
		env.advise = func(
			ctx context.Context, _ work.StepID, workers []model.WorkerID,
		) (map[model.WorkerID]string, time.Duration, error) {
			tickets := map[model.WorkerID]string{}
			for _, worker := range workers {
				tickets[worker] = "ticket"
			}
			return tickets, ticketLife, clock.Sleep(ctx, 20*time.Millisecond)
		}
		env.start("a", nil)
		env.submit(newJob(string(id), "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(id), 0))) == 1 })
		left := env.workers[0]
		left.Crash()
		env.net.SetHandler(memnet.Host(left.Address), http.NotFoundHandler())
		env.store.Remove(platform.RegistryKeyPrefix + left.ID)
		env.addWorker(1, 2)
		env.await(12*time.Second, "it runs again", func() bool { return env.fleet.StartCount(taskID(string(id), 0)) == 2 })
	})
}

// Guards against a job that stands still until its tickets expire because the workers that they name are full, while others that may run
// it are idle and were never asked for.
func TestAdviceIsAskedAgainWhenTicketedWorkersAreFull(t *testing.T) {
	const advised, other model.JobID = "00000000000000b8", "00000000000000b9"
	const workers = 31 // one more than a call for advice names
	withTestEnv(t, workers, func(env *testEnv) {
		env.config.Queues[1].Advised = true
		var calls atomic.Int32
		env.advise = func(
			ctx context.Context, _ work.StepID, asked []model.WorkerID,
		) (map[model.WorkerID]string, time.Duration, error) {
			calls.Add(1)
			tickets := map[model.WorkerID]string{}
			for _, worker := range asked {
				if worker == "w-00" || worker == "w-30" {
					tickets[worker] = "ticket"
				}
			}
			return tickets, ticketLife, clock.Sleep(ctx, 500*time.Millisecond)
		}
		env.start("a", nil)
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome {
			return fakepl.Outcome{After: 30 * time.Second, How: "done"}
		}
		env.sleep(3 * time.Second)
		env.submit(newJob(string(advised), "scan", 1, 8))
		env.sleep(100 * time.Millisecond)
		env.submit(newJob(string(other), "check", 1, 8))
		env.await(time.Second, "the other job fills a worker", func() bool {
			return len(env.fleet.RunningOn(taskID(string(other), 0))) == 1
		})
		env.Expect(env.fleet.RunningOn(taskID(string(other), 0))).To(Equal([]string{"w-00"}))
		env.await(3*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID(string(advised), 0))) == 1 })
		env.Expect(calls.Load()).To(BeEquivalentTo(2))
	})
}
