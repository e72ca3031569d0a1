package config_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// event is one step of a random schedule.
type event struct {
	kind  string
	index int           // selects the instance, or the number of faults or racing publications
	delay time.Duration // pause after the event
}

// schedule draws 5 to 25 events of the given kinds.
func schedule(t *rapid.T, kinds ...string) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			index: rapid.IntRange(0, 2).Draw(t, "who"),
			delay: time.Duration(rapid.IntRange(0, 1500).Draw(t, "gap ms")) * time.Millisecond,
		}
	}), 5, 25).Draw(t, "schedule")
}

// headState is the state of the register model: the newest revision and its change.
type headState struct {
	revision model.Revision
	change   model.ChangeID
}

// headCall is a publication or a read with its answer.
type headCall struct {
	change model.ChangeID // empty for a read
	answer headState
	// unknown is true for a publication that may have taken effect.
	unknown, refused bool
}

// headModel models the head as a register whose revision each publication increments by one.
func headModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{headState{}} },
		Step: func(state, _, output any) []any {
			s, out := state.(headState), output.(headCall)
			moved := headState{revision: s.revision + 1, change: out.change}
			switch {
			case out.change == "" && out.answer == s, out.refused:
				return []any{s}
			case out.unknown:
				return []any{s, moved}
			case out.change != "" && out.answer == moved:
				return []any{moved}
			}
			return nil
		},
	}
	return model.ToModel()
}

var _ = Describe("Random schedules", func() {
	// Guards against a revert by a combination of faults that the specs of the follower lack.
	It("never revert a revision on an instance, with stale reads, lost watches, cuts and restarts (P9)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			events := schedule(t, "publish", "publish", "restart", "stale", "fresh", "cut", "heal", "lose-watches")
			w := &revertWatcher{last: map[string]model.Revision{}}
			inVirtualTime(func(ctx context.Context) { runFollowers(newCluster(ctx, "i0", "i1", "i2").startAll(), events, w) })
			if len(w.reverts) > 0 {
				t.Fatalf("reverts: %v", w.reverts)
			}
		})
	})

	// Guards against a publication that is lost, applied twice or reported wrongly.
	It("give publications and reads a history that one register explains, with races, lost answers, outages and stale reads (P5, P9)", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			events := schedule(t, "publish", "publish", "race", "read", "lose", "lose-head", "down", "stale")
			linearizable := false
			var untrue []string
			inVirtualTime(func(ctx context.Context) { linearizable, untrue = runPublishers(newCluster(ctx), events, nil) })
			if !linearizable || len(untrue) > 0 {
				t.Fatalf("history is linearizable: %t, untrue answers: %v", linearizable, untrue)
			}
		})
	})

	// Shows that the spec above fails if a lost answer counts as a failed write.
	It("are seen to give a history that no register explains when lost answers count as not applied (P5 off)", func() {
		inVirtualTime(func(ctx context.Context) {
			events := []event{{kind: "publish"}, {kind: "lose-head"}, {kind: "publish"}, {kind: "read"}}
			linearizable, untrue := runPublishers(newCluster(ctx), events, func(error) bool { return false })
			Expect(linearizable).To(BeFalse())
			Expect(untrue).To(HaveLen(1))
		})
	})
})

// runFollowers runs a schedule against running instances.
func runFollowers(c *cluster, events []event, w *revertWatcher) {
	operator := &config.Publisher{Store: c.client("operator")}
	for n, e := range events {
		id := fmt.Sprintf("i%d", e.index)
		switch e.kind {
		case "publish":
			// A stale base is refused as a conflict at worst; only accepted changes count here.
			_, _ = operator.Publish(c.ctx, config.Change{
				ID: model.ChangeID(fmt.Sprintf("c%d", n)), Put: []model.Object{customer(fmt.Sprintf("c%d", n), 1)},
			})
		case "restart":
			c.start(id)
		case "stale", "fresh":
			c.kv.Set(fakekv.Faults{StaleReads: e.kind == "stale"})
		case "cut", "heal":
			c.net.Partition(memnet.Host(id), kvHost, e.kind == "cut")
		case "lose-watches":
			c.loseWatches.Store(!c.loseWatches.Load())
		}
		w.watchFor(c, e.delay)
	}
}

// runPublishers runs a schedule of publications and reads, some of them concurrent. It returns whether the history is
// linearizable, and the untrue answers.
func runPublishers(c *cluster, events []event, maybeApplied func(error) bool) (linearizable bool, untrue []string) {
	var mu sync.Mutex
	var running sync.WaitGroup
	var history []porcupine.Operation
	answers := map[model.ChangeID]*reply.Error{}
	begin := time.Now()
	do := func(client int, id model.ChangeID) {
		p := &config.Publisher{Store: c.client(fmt.Sprintf("op%d", client)), Timeout: 3 * time.Second, MaybeApplied: maybeApplied}
		called := time.Since(begin).Nanoseconds()
		out := headCall{change: id}
		if id == "" {
			set, refused := p.ReadRevision(c.ctx, 0)
			if refused != nil {
				return
			}
			out.answer = headState{set.Revision, set.ChangeID}
		} else {
			result, refused := p.Publish(c.ctx, config.Change{ID: id, Put: []model.Object{customer(string(id), 1)}})
			out.answer = headState{result.Revision, id}
			out.refused = refused != nil && refused.Outcome == reply.OutcomeRefused
			out.unknown = refused != nil && !out.refused
			mu.Lock()
			answers[id] = refused
			mu.Unlock()
		}
		op := porcupine.Operation{ClientId: client, Input: headCall{}, Call: called, Output: out, Return: time.Since(begin).Nanoseconds()}
		if out.unknown {
			op.Return = int64(time.Hour)
		}
		mu.Lock()
		history = append(history, op)
		mu.Unlock()
	}
	for n, e := range events {
		switch e.kind {
		case "publish":
			do(n, model.ChangeID(fmt.Sprintf("c%d", n)))
		case "race":
			for i := range 1 + e.index {
				running.Go(func() { do(100*n+i, model.ChangeID(fmt.Sprintf("r%d-%d", n, i))) })
			}
		case "read":
			do(n, "")
		case "lose":
			c.kv.Set(fakekv.Faults{LoseAnswers: 1 + e.index})
		case "lose-head":
			c.kv.Set(fakekv.Faults{LoseAnswers: 1 + e.index, LosePrefix: "/config/head"})
		case "stale":
			c.kv.Set(fakekv.Faults{StaleReads: true})
		case "down":
			c.kv.Set(fakekv.Faults{Down: true})
			time.Sleep(e.delay)
			c.kv.Set(fakekv.Faults{})
		}
		if e.kind != "race" {
			time.Sleep(e.delay / 10)
		}
	}
	running.Wait()
	c.kv.Set(fakekv.Faults{})
	return porcupine.CheckOperations(headModel(), history), untrueAnswers(answers, c.history())
}
