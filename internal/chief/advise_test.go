package chief_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
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
