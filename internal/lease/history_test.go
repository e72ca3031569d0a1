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

// tokenOrderModel accepts a history in which no write is followed by a write with a lower number.
var tokenOrderModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(uint64) >= state.(uint64), max(state.(uint64), input.(uint64))
	},
}

// fencedResource accepts writes as a worker does. With fence it refuses tokens lower than the highest seen.
type fencedResource struct {
	fence bool

	mu      sync.Mutex
	highest model.Token
	clock   int64 // logical time of the recorded operations
	writes  []porcupine.Operation
}

func (r *fencedResource) write(number uint64, token model.Token) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fence && token < r.highest {
		return
	}
	r.highest = max(r.highest, token)
	r.clock += 2
	r.writes = append(r.writes, porcupine.Operation{Input: number, Call: r.clock, Return: r.clock + 1})
}

// ownerTurn is one period in which an instance tries to own the key: it waits idle, acquires the key, writes, and may pause or
// release it.
type ownerTurn struct {
	// transit is the time that a delayed write takes to reach the resource.
	idle, paused, transit time.Duration
	writes                int
	release               bool
}

// ownerTurns generates 30 turns for each of 3 instances.
func ownerTurns() *rapid.Generator[[][]ownerTurn] {
	millis := func(t *rapid.T, name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	turn := rapid.Custom(func(t *rapid.T) ownerTurn {
		return ownerTurn{
			idle:    millis(t, "idle", 2000),
			paused:  rapid.SampledFrom([]time.Duration{0, 0, 0, 4900, 6000, 9000}).Draw(t, "paused") * time.Millisecond,
			transit: millis(t, "flight", 9000),
			writes:  rapid.IntRange(1, 6).Draw(t, "writes"),
			release: rapid.Bool().Draw(t, "release"),
		}
	})
	return rapid.SliceOfN(rapid.SliceOfN(turn, 30, 30), 3, 3)
}

// runOwner executes the turns of one instance. It calls Token before every write; with delayed, each write reaches the resource
// only after its transit time.
func runOwner(ctx context.Context, p *process, r *fencedResource, ownerTurns []ownerTurn, delayed bool) {
	for _, turn := range ownerTurns {
		time.Sleep(turn.idle)
		if _, err := p.Acquire(ctx, ownerKey); err != nil {
			continue
		}
		entry, err := p.Store.Get(ctx, ownerKey, 0)
		if err != nil {
			continue
		}
		for n := range turn.writes {
			if n == 1 && turn.paused > 0 {
				p.pauseFor(turn.paused)
			}
			token, held := p.Token(ownerKey)
			if !held {
				break
			}
			number := uint64(token)
			if delayed {
				// The revision of the entry gives the order of the owners, whatever their tokens are.
				number = uint64(entry.Modified)
				go func() {
					time.Sleep(turn.transit)
					r.write(number, token)
				}()
			} else {
				r.write(number, token)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if turn.release {
			_ = p.Release(ctx, ownerKey)
		}
	}
}

// violations counts the seeds in which a write of an earlier owner is accepted after one of a later owner.
func violations(delayed bool, configure func(*lease.Holder)) (violations, accepted int) {
	generator := ownerTurns()
	for seed := 1; seed <= 30; seed++ {
		fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
		inVirtualTime(func(ctx context.Context, kv *fakekv.Server) {
			r := &fencedResource{fence: delayed}
			var group sync.WaitGroup
			for i, ownerTurns := range generator.Example(seed) {
				p := startProcess(ctx, kv, model.InstanceID(fmt.Sprint(i)), configure)
				group.Go(func() { runOwner(ctx, p, r, ownerTurns, delayed) })
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
			if !porcupine.CheckOperations(tokenOrderModel, r.writes) {
				violations++
			}
		})()
	}
	return violations, accepted
}

var _ = Describe("fencing", func() {
	// Guards against a paused owner that writes after its successor.
	It("keeps paused owners from writing by the check before every use", func() {
		found, accepted := violations(false, unchanged)
		Expect(found).To(BeZero())
		Expect(accepted).To(BeNumerically(">", 500))
	})

	// Shows that the schedules above detect a missing validity check.
	It("is seen to fail without that check", func() {
		found, _ := violations(false, func(h *lease.Holder) { h.RenewalValid = func(time.Time, time.Time) bool { return true } })
		Expect(found).To(BeNumerically(">", 0))
	})

	// Guards against a write that was sent under a valid lease and arrives after the successor's.
	It("keeps writes that were on their way from being accepted, because tokens rise across owners", func() {
		found, accepted := violations(true, unchanged)
		Expect(found).To(BeZero())
		Expect(accepted).To(BeNumerically(">", 500))
	})

	// Shows that the schedules above detect tokens that do not rise across owners.
	It("is seen to fail with tokens that start again with each owner", func() {
		found, _ := violations(true, func(h *lease.Holder) {
			h.TokenOf = func(entry store.Entry) model.Token { return model.Token(entry.Version) }
		})
		Expect(found).To(BeNumerically(">", 0))
	})
})
