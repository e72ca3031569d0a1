package lease_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/lease"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

// fenced is the model of a resource: a write that is accepted under a number is never followed by one under a lower number.
var fenced = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), max(state.(uint64), input.(uint64))
	},
}

// resource is a worker that takes writes. With fence it refuses tokens that are lower than the highest it has seen.
type resource struct {
	fence bool

	mu      sync.Mutex
	highest model.Token
	clock   int64
	writes  []porcupine.Operation
}

func (r *resource) write(number uint64, token model.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence && token < r.highest {
		return
	}
	r.highest = max(r.highest, token)
	r.clock += 2
	r.writes = append(r.writes, porcupine.Operation{Input: number, Call: r.clock, Return: r.clock + 1})
}

// action is one turn of an owner: it writes some times, pauses or releases.
type action struct {
	idle, paused, flight time.Duration
	writes               int
	release              bool
}

func turns() *rapid.Generator[[][]action] {
	millis := func(t *rapid.T, name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	turn := rapid.Custom(func(t *rapid.T) action {
		return action{
			idle: millis(t, "idle", 2000), paused: rapid.SampledFrom([]time.Duration{0, 0, 0, 4900, 6000, 9000}).Draw(t, "paused") * time.Millisecond,
			flight: millis(t, "flight", 9000), writes: rapid.IntRange(1, 6).Draw(t, "writes"), release: rapid.Bool().Draw(t, "release"),
		}
	})
	return rapid.SliceOfN(rapid.SliceOfN(turn, 30, 30), 3, 3)
}

// own plays one instance. It asks for the token before every write; with late writes, the write is on its way for some time.
func own(ctx context.Context, p *process, r *resource, turns []action, late bool) {
	for _, turn := range turns {
		time.Sleep(turn.idle)
		if _, err := p.Acquire(ctx, owner); err != nil {
			continue
		}
		entry, err := p.Store.Get(ctx, owner, 0)
		if err != nil {
			continue
		}
		for n := range turn.writes {
			if n == 1 && turn.paused > 0 {
				p.sleepPaused(turn.paused)
			}
			token, held := p.Token(owner)
			if !held {
				break
			}
			number := uint64(token)
			if late {
				// The revision of the entry tells the owners' order whatever their tokens are.
				number = uint64(entry.Modified)
				go func() {
					time.Sleep(turn.flight)
					r.write(number, token)
				}()
			} else {
				r.write(number, token)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if turn.release {
			_ = p.Release(ctx, owner)
		}
	}
}

// violations counts the seeds whose accepted writes go back to an earlier owner.
func violations(late bool, change func(*lease.Holder)) (violations, accepted int) {
	generator := turns()
	for seed := 1; seed <= 30; seed++ {
		fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
		virtual(func(ctx context.Context, kv *fakekv.Server) {
			r := &resource{fence: late}
			var group sync.WaitGroup
			for i, turns := range generator.Example(seed) {
				p := start(ctx, kv, model.InstanceID(fmt.Sprint(i)), change)
				group.Go(func() { own(ctx, p, r, turns, late) })
			}
			for i := range 12 {
				kv.Set(fakekv.Faults{LoseAnswers: i % 3})
				time.Sleep(5 * time.Second)
			}
			kv.Set(fakekv.Faults{})
			group.Wait()
			time.Sleep(10 * time.Second)
			r.mu.Lock()
			defer r.mu.Unlock()
			accepted += len(r.writes)
			if !porcupine.CheckOperations(fenced, r.writes) {
				violations++
			}
		})()
	}
	return violations, accepted
}

var _ = Describe("fencing", func() {
	It("keeps paused owners from writing by the check before every use", func() {
		found, accepted := violations(false, plain)
		Expect(found).To(BeZero())
		Expect(accepted).To(BeNumerically(">", 500))
	})

	It("is seen to fail without that check", func() {
		found, _ := violations(false, func(h *lease.Holder) { h.Fresh = func(time.Time, time.Time) bool { return true } })
		Expect(found).To(BeNumerically(">", 0))
	})

	It("keeps writes that were on their way from being accepted, because tokens rise across owners", func() {
		found, accepted := violations(true, plain)
		Expect(found).To(BeZero())
		Expect(accepted).To(BeNumerically(">", 500))
	})

	It("is seen to fail with tokens that start again with each owner", func() {
		found, _ := violations(true, func(h *lease.Holder) {
			h.TokenOf = func(entry store.Entry) model.Token { return model.Token(entry.Version) }
		})
		Expect(found).To(BeNumerically(">", 0))
	})
})
