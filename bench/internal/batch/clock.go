package batch

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual time; events of one time run in the order in which they were added.
type clock struct {
	now          time.Time
	events       events
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func (c *clock) after(delay time.Duration, run func()) { c.at(c.now.Add(delay), run) }

func (c *clock) at(at time.Time, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: at, sequence: c.lastSequence, run: run})
}

// step runs the next event and reports whether there was one before end.
func (c *clock) step(end time.Time) bool {
	if len(c.events) == 0 || !c.events[0].at.Before(end) {
		return false
	}
	next, ok := heap.Pop(&c.events).(event)
	if !ok {
		return false
	}
	c.now = next.at
	next.run()
	return true
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if next, ok := x.(event); ok {
		*e = append(*e, next)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
