package leave_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/leave"
)

// gang returns members with the times left in milliseconds, the first of which is on a worker that leaves.
func gang(leavesIn int, left ...int) []leave.Member {
	var members []leave.Member
	for i, ms := range left {
		m := leave.Member{Left: time.Duration(ms) * time.Millisecond, Rated: true}
		if i == 0 {
			m.Leaves, m.LeavesIn = true, time.Duration(leavesIn)*time.Millisecond
		}
		members = append(members, m)
	}
	return members
}

// Guards against work that is lost with a worker that is taken away at short notice.
func TestDecide(t *testing.T) {
	limits := leave.Limits{Stop: 700 * time.Millisecond, Lease: 10 * time.Second}
	for _, c := range []struct {
		name string
		work leave.Work
		want leave.Action
	}{
		{name: "run that ends in time", work: leave.Work{Members: gang(1600, 1400)}, want: leave.Finish},
		{name: "run that has just begun", work: leave.Work{Members: gang(1600, 8000), Lost: 100 * time.Millisecond, Slack: -1}, want: leave.StopNow},
		{
			name: "gang whose member there is done, but not the others", want: leave.StopNow,
			work: leave.Work{Members: gang(1600, 0, 5000, 1000), Lost: 9 * time.Second, Slack: -1},
		},
		{
			name: "gang with saved progress", want: leave.StopLater,
			work: leave.Work{Members: gang(1600, 0, 5000), Lost: 2 * time.Second, Checkpoints: true},
		},
		{
			name: "gang with saved progress, no time left", want: leave.StopNow,
			work: leave.Work{Members: gang(650, 0, 5000), Lost: 2 * time.Second, Checkpoints: true},
		},
		{
			name: "saved progress, may end in the last moment", want: leave.StopNow,
			work: leave.Work{Members: gang(650, 640), Lost: 2 * time.Second, Checkpoints: true},
		},
		{name: "far advanced, may end", work: leave.Work{Members: gang(1600, 1600), Lost: 9 * time.Second, Slack: -1}, want: leave.StopLater},
		{
			name: "far advanced, may end in the last moment", want: leave.Finish,
			work: leave.Work{Members: gang(650, 630), Lost: 9 * time.Second, Slack: -1},
		},
		{
			name: "far advanced, will probably be cut off", want: leave.StopNow,
			work: leave.Work{Members: gang(650, 690), Lost: 9 * time.Second, Slack: -1},
		},
		{
			name: "progress not known yet, may end", want: leave.StopLater,
			work: leave.Work{Members: []leave.Member{{Leaves: true, LeavesIn: 1600 * time.Millisecond, Left: 2 * time.Second}}, Lost: 2 * time.Second, Slack: -1},
		},
		{name: "little to lose, may end", work: leave.Work{Members: gang(1600, 1600), Lost: 400 * time.Millisecond, Slack: -1}, want: leave.StopNow},
		{
			name: "only a start now meets the target", want: leave.StopNow,
			work: leave.Work{Members: gang(1600, 1600), Lost: 9 * time.Second, Slack: 500 * time.Millisecond},
		},
		{name: "second notice comes sooner", want: leave.StopNow, work: leave.Work{
			Members: append(gang(1600, 1000), leave.Member{Leaves: true, LeavesIn: 500 * time.Millisecond, Left: 900 * time.Millisecond}), Lost: time.Second,
		}},
		{name: "worker that serves beyond its time", work: leave.Work{Members: gang(-300, 2000), Lost: time.Second}, want: leave.StopNow},
	} {
		NewWithT(t).Expect(limits.Decide(&c.work).Action).To(Equal(c.want), c.name)
	}
}
