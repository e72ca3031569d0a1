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

// op is a step of one caller on one id: it got the claim, or gave it up because nothing was sent.
type op struct {
	id      model.RequestID
	release bool
}

// holders is the model of one id: a claim is given only while nobody holds it, and only a release gives it up.
var holders = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[model.RequestID][]porcupine.Operation{}
		for _, o := range history {
			id := o.Input.(op).id
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
		release := input.(op).release
		return state.(bool) == release, !release
	},
}

// recorder collects a history; its clock counts calls and returns, as virtual time gives many of them the same instant.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) add(client int, o op, call, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: o, Call: call, Return: end})
}

// action is what one caller does with one id.
type action struct {
	pause, hold time.Duration
	id          int
	// end is 0 for a finish, 1 for a release, 2 for a process that dies while it holds the claim.
	end int
}

type schedule struct {
	callers [][]action
	faults  []fakekv.Faults
}

func schedules() *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		millis := func(t *rapid.T, name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		act := rapid.Custom(func(t *rapid.T) action {
			return action{
				pause: millis(t, "pause", 3000), hold: millis(t, "hold", 2000),
				id: rapid.IntRange(0, 2).Draw(t, "id"), end: rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(t, "end"),
			}
		})
		fault := rapid.SampledFrom([]fakekv.Faults{
			{}, {}, {Down: true}, {LoseAnswers: 1, LosePrefix: claims}, {LoseAnswers: 3}, {DelayMs: 700}, {DelayMs: 2500}, {DownFor: "1"},
		})
		return schedule{
			callers: rapid.SliceOfN(rapid.SliceOfN(act, 8, 8), 4, 4).Draw(t, "callers"),
			faults:  rapid.SliceOfN(fault, 12, 12).Draw(t, "faults"),
		}
	})
}

// play runs a schedule against several instances and returns the history of the claims that were given.
func play(ctx context.Context, kv *fakekv.Server, s schedule, change func(*claim.Book)) []porcupine.Operation {
	var group sync.WaitGroup
	r := &recorder{}
	for i, actions := range s.callers {
		instance := model.InstanceID(fmt.Sprint(i))
		b := book(ctx, kv, instance, "0")
		change(b)
		group.Go(func() {
			for n, a := range actions {
				time.Sleep(a.pause)
				id := model.RequestID(fmt.Sprint(a.id))
				call := r.clock.Add(1)
				c, _, _ := begin(ctx, b, claim.Key{Customer: "c", Request: id}, 2*time.Second)
				if c == nil {
					continue
				}
				r.add(i, op{id: id}, call, r.clock.Add(1))
				time.Sleep(a.hold)
				switch a.end {
				case 0:
					_ = c.Finish(ctx, done)
				case 1:
					call, end := r.clock.Add(1), int64(math.MaxInt64)
					if c.Release(ctx) == nil {
						end = r.clock.Add(1)
					}
					r.add(i, op{id: id, release: true}, call, end)
				default:
					b = book(ctx, kv, instance, model.Incarnation(fmt.Sprint(n+1)))
					change(b)
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
	return r.ops
}

// violations counts the seeds whose history gives one id to two holders.
func violations(seeds int, change func(*claim.Book)) (violations, given int) {
	generator := schedules()
	for seed := 1; seed <= seeds; seed++ {
		fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
		virtual(func(ctx context.Context, kv *fakekv.Server) {
			history := play(ctx, kv, generator.Example(seed), change)
			given += len(history)
			if !porcupine.CheckOperations(holders, history) {
				violations++
			}
		})()
	}
	return violations, given
}

var _ = Describe("P6: at most one holder of an id", func() {
	It("holds in random schedules with outages, lost answers, slow writes and deaths", func() {
		found, given := violations(40, func(*claim.Book) {})
		Expect(found).To(BeZero())
		Expect(given).To(BeNumerically(">", 400), "the schedules give claims")
	})

	It("is seen to fail when claims are written without compare-and-swap", func() {
		found, _ := violations(10, func(b *claim.Book) {
			b.Write = func(ctx context.Context, key string, value []byte, _ store.Version, lease store.LeaseID) (store.Entry, error) {
				current, _ := b.Store.Get(ctx, key, 0)
				return b.Store.Put(ctx, key, value, current.Version, lease)
			}
		})
		Expect(found).To(BeNumerically(">", 0))
	})
})

var _ = Describe("P5: a request that may have run", func() {
	// falseRefusals counts duplicates that were told "not run" although the request had been sent.
	falseRefusals := func(ctx context.Context, kv *fakekv.Server, doubt func(string) *reply.Error) int {
		a, refused := book(ctx, kv, "a", "1"), 0
		held(ctx, a, key) // Its process dies after the request was sent.
		for _, b := range []*claim.Book{a, book(ctx, kv, "a", "2"), book(ctx, kv, "b", "1")} {
			b.Doubt = doubt
			if refusal(ctx, b, key).Outcome == reply.OutcomeRefused {
				refused++
			}
		}
		return refused
	}

	It("is never refused", virtual(func(ctx context.Context, kv *fakekv.Server) {
		Expect(falseRefusals(ctx, kv, nil)).To(BeZero())
		synctest.Wait()
	}))

	It("is seen to be refused when doubt is reported as not run", virtual(func(ctx context.Context, kv *fakekv.Server) {
		Expect(falseRefusals(ctx, kv, func(message string) *reply.Error {
			return reply.Refused(reply.ReasonDuplicate, "%s", message)
		})).To(Equal(3))
	}))
})
