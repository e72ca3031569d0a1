package claim_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/claim"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// operation is one step of a caller on one id: it was granted the claim, or released it because nothing was sent.
type operation struct {
	id      model.RequestID
	release bool
}

// singleHolderModel is the linearizability model of one id: a claim is granted only while nobody holds it, and only a release ends
// it.
var singleHolderModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[model.RequestID][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(operation).id
			byID[id] = append(byID[id], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, input, _ any) (bool, any) {
		release := input.(operation).release
		return state.(bool) == release, !release
	},
}

// historyRecorder collects a history. Its clock counts calls and returns, because in virtual time many of them have the same time.
type historyRecorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *historyRecorder) add(client int, step operation, called, returned int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: step, Call: called, Return: returned})
}

// callerAction is one claim of a caller and how it ends; pause is the time before it, and hold the time until its end.
type callerAction struct {
	pause, hold time.Duration
	id          int
	// end is 0 for a finish, 1 for a release, 2 for a process that crashes while it holds the claim.
	end int
}

// schedule is the actions of each caller, and the faults of the store in order, each for 2 s.
type schedule struct {
	callers [][]callerAction
	faults  []fakekv.Faults
}

func scheduleGenerator() *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		millis := func(t *rapid.T, name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		act := rapid.Custom(func(t *rapid.T) callerAction {
			return callerAction{
				pause: millis(t, "pause", 3000), hold: millis(t, "hold", 2000),
				id: rapid.IntRange(0, 2).Draw(t, "id"), end: rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(t, "end"),
			}
		})
		fault := rapid.SampledFrom([]fakekv.Faults{
			{}, {}, {Down: true}, {LoseAnswers: 1, LosePrefix: claimPrefix}, {LoseAnswers: 3}, {DelayMs: 700}, {DelayMs: 2500}, {DownFor: "1"},
		})
		return schedule{
			callers: rapid.SliceOfN(rapid.SliceOfN(act, 8, 8), 4, 4).Draw(t, "callers"),
			faults:  rapid.SliceOfN(fault, 12, 12).Draw(t, "faults"),
		}
	})
}

// runSchedule runs a schedule on several instances and returns the history of granted and released claims.
func runSchedule(ctx context.Context, kv *fakekv.Server, s schedule, configure func(*claim.Registry)) []porcupine.Operation {
	var group sync.WaitGroup
	history := &historyRecorder{}
	for i, actions := range s.callers {
		instance := model.InstanceID(fmt.Sprint(i))
		registry := startRegistry(ctx, kv, instance, "0")
		configure(registry)
		group.Go(func() {
			for n, a := range actions {
				time.Sleep(a.pause)
				id := model.RequestID(fmt.Sprint(a.id))
				call := history.clock.Add(1)
				c, _, _ := begin(ctx, registry, claim.Key{Customer: "c", Request: id}, 2*time.Second)
				if c == nil {
					continue
				}
				history.add(i, operation{id: id}, call, history.clock.Add(1))
				time.Sleep(a.hold)
				switch a.end {
				case 0:
					_ = c.Finish(ctx, done)
				case 1:
					call, end := history.clock.Add(1), int64(math.MaxInt64)
					if c.Release(ctx) == nil {
						end = history.clock.Add(1)
					}
					history.add(i, operation{id: id, release: true}, call, end)
				default:
					registry = startRegistry(ctx, kv, instance, model.Incarnation(fmt.Sprint(n+1)))
					configure(registry)
				}
			}
		})
	}
	for _, faults := range s.faults {
		kv.Set(faults)
		time.Sleep(2 * time.Second)
	}
	kv.Set(fakekv.Faults{})
	group.Wait()
	return history.ops
}

// violations counts the seeds whose history grants one id to two holders at the same time, and the steps of all histories.
func violations(seeds int, configure func(*claim.Registry)) (violations, granted int) {
	generator := scheduleGenerator()
	for seed := 1; seed <= seeds; seed++ {
		fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			history := runSchedule(ctx, kv, generator.Example(seed), configure)
			granted += len(history)
			if !porcupine.CheckOperations(singleHolderModel, history) {
				violations++
			}
		})()
	}
	return violations, granted
}

var _ = Describe("P6: at most one holder of an id", func() {
	// Guards against two holders of one id under store faults and process crashes.
	It("holds in random schedules with outages, lost answers, slow writes and deaths", func() {
		found, granted := violations(40, func(*claim.Registry) {})
		Expect(found).To(BeZero())
		Expect(granted).To(BeNumerically(">", 400), "the schedules give claims")
	})

	// Guards against a check that cannot detect two holders.
	It("is seen to fail when claims are written without compare-and-swap", func() {
		found, _ := violations(10, func(registry *claim.Registry) {
			registry.PutClaim = func(ctx context.Context, key string, value []byte, _ store.Version, lease store.LeaseID) (store.Entry, error) {
				current, _ := registry.Store.Get(ctx, key, 0)
				return registry.Store.Put(ctx, key, value, current.Version, lease)
			}
		})
		Expect(found).To(BeNumerically(">", 0))
	})
})

var _ = Describe("P5: a request that may have run", func() {
	// falseRefusals counts the duplicates that are refused as not run although the request was sent.
	falseRefusals := func(ctx context.Context, kv *fakekv.Server, doubt func(string) *reply.Error) int {
		a, refused := startRegistry(ctx, kv, "a", "1"), 0
		mustClaim(ctx, a, key) // Its process ends after the request was sent.
		for _, registry := range []*claim.Registry{a, startRegistry(ctx, kv, "a", "2"), startRegistry(ctx, kv, "b", "1")} {
			registry.InDoubtError = doubt
			if mustNotClaim(ctx, registry, key).Outcome == reply.OutcomeRefused {
				refused++
			}
		}
		return refused
	}

	// Guards against a caller that repeats a request because it was told that the first did not run.
	It("is never refused", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		Expect(falseRefusals(ctx, kv, nil)).To(BeZero())
		synctest.Wait()
	}))

	// Guards against a check that cannot detect false refusals.
	It("is seen to be refused when doubt is reported as not run", inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
		Expect(falseRefusals(ctx, kv, func(message string) *reply.Error {
			return reply.Refused(reply.ReasonDuplicate, "%s", message)
		})).To(Equal(3))
	}))
})
