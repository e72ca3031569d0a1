package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const (
	// boundTailRatio limits the urgent class's 99th percentile with one slow endpoint, as a multiple of that without faults.
	boundTailRatio = 3
	// boundGangStop is the time after a failure or a cancel until no task of the gang runs.
	boundGangStop = 15 * time.Second
)

var _ = Describe("With one endpoint slow", func() {
	// tailLatency sends 1,200 requests at 100 per second and returns the 99th percentile of their latencies. A request that is not
	// done counts with the class's timeout.
	tailLatency := func(r *rig, name string) time.Duration {
		const (
			count   = 1200
			timeout = 2 * time.Second
		)
		results := make(chan time.Duration, count)
		for i := range count {
			go func() {
				begin := time.Now()
				outcome, _, _ := r.sendRequest(r.instances[i%3], "check", fmt.Sprintf("%s-%d", name, i), timeout)
				if outcome != reply.OutcomeDone {
					results <- timeout
					return
				}
				results <- time.Since(begin)
			}()
			time.Sleep(10 * time.Millisecond)
		}
		var all []time.Duration
		for range count {
			all = append(all, <-results)
		}
		slices.Sort(all)
		return all[count*99/100]
	}

	// Guards against urgent requests that wait for one slow endpoint.
	It("the urgent class keeps its tail within the bound", func() {
		withInstances(3, func(r *rig) {
			tailLatency(r, "warm-up")
			healthy := tailLatency(r, "healthy")
			r.endpoints["north-e0"].Set(fakeep.Faults{SlowMs: 400})
			slow := tailLatency(r, "slow")
			Expect(slow).To(BeNumerically("<=", boundTailRatio*healthy), "healthy %s", healthy)
		})
	})

	// Shows that the check above fails without the route table's own choice of endpoints.
	It("the tail is seen to exceed the bound when endpoints are chosen at random", func() {
		withInstances(3, func(r *rig) {
			for _, inst := range r.instances {
				inst.Route.SelectEndpoint = route.Random
			}
			tailLatency(r, "warm-up")
			healthy := tailLatency(r, "healthy")
			r.endpoints["north-e0"].Set(fakeep.Faults{SlowMs: 400})
			Expect(tailLatency(r, "slow")).To(BeNumerically(">", boundTailRatio*healthy))
		})
	})

	// Guards against a hedge or a retry that runs a non-repeatable request a second time.
	It("a request that must not be repeated is sent once", func() {
		withInstances(3, func(r *rig) {
			for _, endpoint := range r.endpoints {
				endpoint.Set(fakeep.Faults{SlowMs: 3000})
			}
			for i := range 6 {
				id := fmt.Sprintf("tally-%d", i)
				outcome, _, message := r.sendRequest(r.instances[i%3], "tally", id, 15*time.Second)
				Expect(outcome).To(Equal(reply.OutcomeDone), message)
				Expect(r.runCount(id)).To(Equal(1))
			}
		})
	})
})

var _ = Describe("A running gang", func() {
	// Guards against a gang whose other tasks go on after one task has failed.
	It("stops whole within the bound when one of its tasks fails", func() {
		withInstances(2, func(r *rig) {
			r.workers["north-w1"].Set(fakewk.Faults{FailAll: true, FailAfterMs: 3000})
			_, err := r.operator(r.instances[0]).Submit(context.Background(), client.Job{
				ID: "gang", Customer: "big", Class: "soft", Shape: "rack", DataCentre: "north", RunTime: model.Duration(time.Hour),
			})
			Expect(err).NotTo(HaveOccurred())
			eventually(5*time.Second, "the gang runs", func() bool { return r.runningTaskCount("north") == 2 })
			eventually(5*time.Second, "a task fails", func() bool { return r.runningTaskCount("north") < 2 })
			eventually(boundGangStop, "the other task stops", func() bool { return r.runningTaskCount("north") == 0 })
		})
	})

	// Guards against a gang of which a part goes on after it was cancelled.
	It("is stopped whole by a wave of cancels", func() {
		withInstances(2, func(r *rig) {
			operator := r.operator(r.instances[0])
			for i := range 30 {
				_, err := operator.Submit(context.Background(), client.Job{
					ID: model.JobID(fmt.Sprintf("gang-%d", i)), Customer: "big", Class: "soft", Shape: "rack", RunTime: model.Duration(time.Hour),
				})
				Expect(err).NotTo(HaveOccurred())
			}
			eventually(5*time.Second, "gangs run", func() bool { return r.runningTaskCount("north") == 2 })
			for i := range 30 {
				_, err := operator.Cancel(context.Background(), model.JobID(fmt.Sprintf("gang-%d", i)))
				Expect(err).NotTo(HaveOccurred())
			}
			eventually(boundGangStop, "all gangs have stopped", func() bool {
				return r.runningTaskCount("north")+r.runningTaskCount("south") == 0
			})
			eventually(boundGangStop, "all records say so", func() bool {
				records, err := operator.Jobs(context.Background())
				return err == nil && len(records) == 30 && !slices.ContainsFunc(records, func(record client.JobRecord) bool {
					return record.State != "cancelled"
				})
			})
		})
	})
})

// runningTaskCount returns the number of tasks that are running in a data centre.
func (r *rig) runningTaskCount(dc string) int {
	count := 0
	for name, worker := range r.workers {
		for _, run := range worker.Runs() {
			if strings.HasPrefix(name, dc) && run.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}

var _ = Describe("Requests", func() {
	// Guards against refusing requests that other data centres can serve.
	It("are served elsewhere while a data centre goes out of service and returns", func() {
		withInstances(3, func(r *rig) {
			results := make(chan string, 3000)
			sent := 0
			for round := range 6 {
				service := model.ServiceOut
				if round%2 == 1 {
					service = model.ServiceIn
				}
				go r.publish(r.instances[0], newDataCentre("south", service))
				for range 200 {
					sent++
					go func(i int) {
						class := []model.RequestClassID{"check", "tally"}[i%2]
						outcome, reason, message := r.sendRequest(r.instances[i%3], class, fmt.Sprintf("move-%d", i), 2*time.Second)
						results <- fmt.Sprint(outcome, " ", reason, " ", message)
					}(sent)
					time.Sleep(2 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
			}
			for range sent {
				Expect(<-results).To(HavePrefix(string(reply.OutcomeDone)))
			}
		})
	})
})

var _ = Describe("A starting instance", func() {
	// Guards against reporting ready, and so getting requests from the balancer, before any endpoint is known.
	It("is not ready before it can serve a request", func() {
		withInstances(2, func(r *rig) {
			for range 20 {
				inst := r.startInstance(fmt.Sprintf("late-%d", time.Now().UnixNano()), "north")
				eventually(10*time.Second, "the instance is ready", func() bool {
					ready, _ := inst.Health.Ready()
					return ready
				})
				outcome, reason, message := r.sendRequest(inst, "check", "first-"+inst.id, time.Second)
				Expect(outcome).To(Equal(reply.OutcomeDone), "%s: %s", reason, message)
				inst.cancel()
			}
		})
	})
})
