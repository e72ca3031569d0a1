package advice_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/advice"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

const start = clock.Instant(time.Hour)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func worker(id string) advice.Worker { return advice.Worker{ID: model.WorkerID(id), Born: 1} }

// Guards against calls that take much longer than their step needs, and against calls so short that a wide step never has all of its tickets.
func TestCallSize(t *testing.T) {
	places := func(workers, each int) []int {
		list := make([]int, workers)
		for i := range list {
			list[i] = each
		}
		return list
	}
	for _, c := range []struct {
		name   string
		timing work.AdviceTiming
		places []int
		tasks  int
		want   int
	}{
		{"nothing is known of the time", work.AdviceTiming{}, places(48, 4), 4, 30},
		{"workers cost nothing", work.AdviceTiming{Decision: ms(100)}, places(48, 4), 4, 30},
		{"as long again as the decision", work.AdviceTiming{Decision: ms(400), PerWorker: ms(75)}, places(48, 4), 4, 5},
		{"room for the tasks twice over", work.AdviceTiming{Decision: ms(400), PerWorker: ms(75)}, places(48, 1), 4, 8},
		{"no decision", work.AdviceTiming{PerWorker: ms(75)}, places(48, 4), 4, 2},
		{"a wide step", work.AdviceTiming{Decision: ms(400), PerWorker: ms(75)}, places(48, 1), 40, 48},
		{"more than a call may name", work.AdviceTiming{}, places(200, 1), 90, 100},
		{"few workers", work.AdviceTiming{}, places(3, 0), 4, 3},
		{"no room", work.AdviceTiming{Decision: ms(400), PerWorker: ms(75)}, places(48, 0), 4, 5},
		{"no room and no decision", work.AdviceTiming{PerWorker: ms(75)}, places(48, 0), 4, 0},
		{"no workers", work.AdviceTiming{}, nil, 4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(advice.CallSize(c.timing, c.places, c.tasks)).To(Equal(c.want))
		})
	}
}

// Guards against tickets that are taken for valid for longer than they are, and against ones that count as expired when they arrive.
func TestValidityOfTickets(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated time.Duration // of the call
		took   time.Duration
		valid  time.Duration
		usable time.Duration // from the answer
		late   bool
	}{
		{"the call takes as long as it says", ms(2600), ms(2600), ms(3000), ms(2500), false},
		{"its answer is on its way for a while", ms(2600), ms(3600), ms(3000), ms(1500), false},
		{"it takes less", ms(2600), ms(100), ms(3000), ms(2500), false},
		{"it takes much longer", ms(100), ms(5100), ms(3000), ms(500), true},
		{"a short validity", ms(100), ms(100), ms(200), ms(150), false},
		{"a short validity of a slow call", ms(100), ms(1100), ms(200), ms(100), true},
		{"nothing is stated", 0, ms(300), ms(3000), ms(2200), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var book advice.Book
			call := &advice.Call{Workers: []advice.Worker{worker("a")}, Timing: work.AdviceTiming{Decision: c.stated}, Sent: start}
			answered := start.Add(c.took)
			g.Expect(book.Answered(call, map[model.WorkerID]string{"a": "t"}, c.valid, answered)).To(Equal(c.late))
			_, valid := book.Ticket(worker("a"), answered.Add(c.usable-time.Nanosecond))
			g.Expect(valid).To(BeTrue())
			_, valid = book.Ticket(worker("a"), answered.Add(c.usable))
			g.Expect(valid).To(BeFalse())
		})
	}
}

// Guards against tickets of another life of a worker, or of a worker that the call did not name, and against what is forgotten too soon.
func TestBookOfAStep(t *testing.T) {
	g := NewWithT(t)
	var book advice.Book
	call := &advice.Call{Workers: []advice.Worker{worker("a"), worker("b")}, Sent: start}
	book.Answered(call, map[model.WorkerID]string{"a": "t", "c": "u"}, time.Second, start)
	ticket, valid := book.Ticket(worker("a"), start)
	g.Expect(valid).To(BeTrue())
	g.Expect(ticket).To(Equal("t"))
	_, valid = book.Ticket(advice.Worker{ID: "a", Born: 2}, start)
	g.Expect(valid).To(BeFalse())
	_, valid = book.Ticket(worker("c"), start)
	g.Expect(valid).To(BeFalse())
	g.Expect(book.Denied(worker("b"), start.Add(5*time.Second))).To(BeTrue())
	g.Expect(book.Asks(worker("b"), start.Add(5*time.Second))).To(BeFalse())
	g.Expect(book.Asks(worker("b"), start.Add(15*time.Second))).To(BeTrue())
	g.Expect(book.Asks(worker("a"), start.Add(time.Second))).To(BeTrue())
	g.Expect(book.Allowed(worker("a"))).To(BeTrue(), "its ticket has expired")
	book.Expire(worker("a"))
	_, valid = book.Ticket(worker("a"), start)
	g.Expect(valid).To(BeFalse())
	g.Expect(book.Denied(worker("b"), start)).To(BeTrue())
}

// Guards against calls without a pause for tickets that are of no use, and against starts of one step that count as many misses.
func TestCallsOfNoUseBecomeRare(t *testing.T) {
	g := NewWithT(t)
	var book advice.Book
	now := start
	for _, want := range []int{300, 600, 1200, 2400, 4800, 9600, 9600} {
		g.Expect(book.Missed(now)).To(Equal(ms(want)))
		g.Expect(book.Missed(now.Add(ms(100)))).To(Equal(ms(want-100)), "of the same call")
		g.Expect(book.Paused(now.Add(ms(want - 1)))).To(BeTrue())
		now = now.Add(ms(want))
		g.Expect(book.Paused(now)).To(BeFalse())
	}
	book.Used()
	g.Expect(book.Missed(now)).To(Equal(ms(300)))
}
