package speed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against patient work that takes fast workers from urgent work, from gangs and from what is nearly late.
func TestHasteFollowsUrgencyAndSlack(t *testing.T) {
	g := NewWithT(t)
	takes := 4 * time.Second
	for _, item := range []struct {
		what string
		work Work
		want Haste
	}{
		{"urgent", Work{Urgent: true, Takes: takes, Slack: time.Hour}, Urgent},
		{"urgent, and too late", Work{Urgent: true, Hopeless: true, Takes: takes}, Urgent},
		{"gang with time", Work{Gang: true, Takes: takes, Slack: time.Hour}, Pressed},
		{"chain with time", Work{Chain: true, Takes: takes, Slack: time.Hour}, Pressed},
		{"little slack", Work{Takes: takes, Slack: time.Second}, Pressed},
		{"some slack", Work{Takes: takes, Slack: 7 * time.Second}, Usual},
		{"much slack", Work{Takes: takes, Slack: 11 * time.Second}, Patient},
		{"no value any more", Work{Hopeless: true, Gang: true, Takes: takes, Slack: -time.Minute}, Patient},
		{"lasts", Work{Lasts: true, Urgent: true}, Usual},
	} {
		g.Expect(HasteOf(item.work)).To(Equal(item.want), item.what)
	}
	for _, haste := range []Haste{Urgent, Pressed, Usual, Patient} {
		g.Expect(haste.Penalty(1)).To(BeZero(), "a usual worker is rated as before")
	}
	g.Expect(Urgent.Penalty(0.5)).To(BeNumerically(">", Urgent.Penalty(1.2)))
	g.Expect(Patient.Penalty(0.5)).To(BeNumerically("<", Patient.Penalty(1.2)))
}
