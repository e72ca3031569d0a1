package outage_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/outage"
)

// at returns a time in milliseconds after the start of a test.
func at(ms int) time.Time { return time.Unix(1_000, 0).Add(time.Duration(ms) * time.Millisecond) }

// event is a call to the store: sent and ended in milliseconds; one that never ends has the end never.
type event struct {
	sent, ended int
	result      outage.Result
}

const never = 1 << 30

// play notes the calls that were sent or ended up to a time, in order.
func play(events []event, until int) *outage.Gate {
	gate := &outage.Gate{}
	ends := map[int]func(time.Time, outage.Result){}
	for ms := range until + 1 {
		for i, e := range events {
			if e.sent == ms {
				ends[i] = gate.Begin(at(ms))
			}
			if e.ended == ms {
				ends[i](at(ms), e.result)
			}
		}
	}
	return gate
}

// Guards against callers that wait for a store which is known to be silent, and against a slow or busy store that is taken for a lost one.
func TestOutageIsKnownFromTheCallsOfTheInstance(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []event
		until  int
		want   outage.Cause
	}{
		{name: "no call", until: 5000},
		{name: "answered", events: []event{{0, 4, outage.Served}}, until: 5000},
		{name: "silent at first", events: []event{{0, 4, outage.Served}, {450, never, 0}}, until: 840},
		{name: "silent", events: []event{{0, 4, outage.Served}, {450, never, 0}}, until: 850, want: outage.CauseSilent},
		{name: "silent, timed out", events: []event{{0, 250, outage.Unanswered}}, until: 500, want: outage.CauseSilent},
		{name: "slow store", events: []event{{0, 350, outage.Served}, {450, 800, outage.Served}, {900, never, 0}}, until: 1290},
		{name: "one answer lost, the next call answered", events: []event{{0, 700, outage.Unanswered}, {250, 254, outage.Served}}, until: 2000},
		{name: "call given up by its caller", events: []event{{0, 100, outage.Abandoned}}, until: 2000},
		{name: "one refusal", events: []event{{0, 1, outage.Refused}}, until: 2000},
		{name: "refusals", events: []event{{0, 1, outage.Refused}, {100, 101, outage.Refused}}, until: 101, want: outage.CauseRefuses},
		{name: "refusals between answers", events: []event{{0, 1, outage.Refused}, {50, 51, outage.Served}, {100, 101, outage.Refused}}, until: 200},
		{name: "back after silence, earlier calls still open", events: []event{{0, never, 0}, {900, 904, outage.Served}}, until: 2000},
	} {
		cause, _ := play(c.events, c.until).Down(at(c.until))
		NewWithT(t).Expect(cause).To(Equal(c.want), c.name)
	}
}

// silentGate returns a gate to a store that is silent from 0 on.
func silentGate() (gate *outage.Gate, answered func(ms int)) {
	gate = &outage.Gate{}
	gate.Begin(at(0))
	return gate, func(ms int) { gate.Note(at(ms), outage.Served) }
}

// Guards against a caller who is kept until its deadline, and against one who waits in an outage that will outlast it.
func TestChangeWaitsForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	gate, _ := silentGate()
	change := gate.Join(at(500), outage.Caller{})
	g.Expect(gate.Ask(at(500), change)).To(Equal(outage.Verdict{}))
	g.Expect(gate.Ask(at(1090), change)).To(Equal(outage.Verdict{}))
	g.Expect(gate.Ask(at(1100), change)).To(Equal(outage.Verdict{Refuse: outage.CauseSilent}))
	short := gate.Join(at(2000), outage.Caller{Deadline: at(2500)})
	g.Expect(gate.Ask(at(2190), short)).To(Equal(outage.Verdict{}))
	g.Expect(gate.Ask(at(2200), short)).To(Equal(outage.Verdict{Refuse: outage.CauseSilent}), "less than half of its time")
	g.Expect(gate.Ask(at(11_000), gate.Join(at(11_000), outage.Caller{}))).To(Equal(outage.Verdict{Refuse: outage.CauseSilent}))
}

// Guards against memory that grows with the callers of an outage.
func TestCrowdIsRefusedAtOnce(t *testing.T) {
	gate, _ := silentGate()
	refused := 0
	for range 1000 {
		if gate.Ask(at(500), gate.Join(at(500), outage.Caller{})).Refuse == outage.CauseCrowd {
			refused++
		}
	}
	NewWithT(t).Expect(refused).To(Equal(1000 - 64))
}

// Guards against a rush of all that has waited when the store returns, and against urgent work behind other work then.
func TestChangesReturnInOrderAndOnlyAsFastAsTheStoreAnswers(t *testing.T) {
	g := NewWithT(t)
	gate, answered := silentGate()
	var changes []*outage.Change
	for i := range 60 {
		changes = append(changes, gate.Join(at(500), outage.Caller{Priority: i % 3, Deadline: at(5000 - i)}))
	}
	ask := func(ms int) (sent []int) {
		for range changes { // Each is asked again and again, whatever its place.
			for i, change := range changes {
				if change != nil && !slices.Contains(sent, i) && gate.Ask(at(ms), change).Send {
					sent = append(sent, i)
				}
			}
		}
		return sent
	}
	g.Expect(ask(600)).To(BeEmpty())
	answered(700)
	for step, want := range []int{1, 2, 4, 8} {
		sent := ask(720 + 20*step)
		g.Expect(sent).To(HaveLen(want))
		for _, i := range sent {
			g.Expect(i%3).To(BeZero(), "urgent changes go first")
			gate.Leave(changes[i], true)
			changes[i] = nil
		}
	}
}

// Guards against callers who are refused together and return together.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	gate, _ := silentGate()
	seconds := map[time.Duration]int{}
	for i := range 200 {
		seconds[gate.RetryAfter(at(4000), float64(i)/200).Round(time.Second)]++
	}
	g.Expect(len(seconds)).To(BeNumerically(">=", 4))
	for after, callers := range seconds {
		g.Expect(after).To(BeNumerically(">=", 2*time.Second), "half the expected rest of the outage")
		g.Expect(callers).To(BeNumerically("<", 100))
	}
}

// Guards against every caller of an unserved instance asking peers that the store does not serve either.
func TestOneChangeAtATimeLooksForAServedInstance(t *testing.T) {
	g := NewWithT(t)
	detour := &outage.Detour{}
	g.Expect(detour.Try(at(0))).To(BeTrue())
	detour.Done(at(5), false)
	g.Expect(detour.Try(at(200))).To(BeFalse())
	g.Expect(detour.Try(at(400))).To(BeTrue())
	g.Expect(detour.Try(at(400))).To(BeFalse())
	detour.Done(at(410), true)
	g.Expect(detour.Try(at(411))).To(BeTrue())
	g.Expect(detour.Try(at(411))).To(BeTrue())
}
