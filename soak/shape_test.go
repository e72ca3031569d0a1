package main

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// jobShape is what a submitted job consists of.
type jobShape struct {
	queue         string // prefix below fakepl.QueuePrefix; empty for the fake's own queue
	first, second int    // tasks of the steps
	slots         int    // of a task
	rack          string // of the data
	took          time.Duration
	gang          bool // the first step
	sameRack      bool
	roomFactor    int  // lostRoom, if zero
	failsOnce     bool // the first run, after failTime
}

// body returns a job of one or two steps, the second of which needs the end of the first, and its tasks.
func (s jobShape) body() (body string, tasks []string) {
	var steps []string
	for i, count := range []int{s.first, s.second} {
		if count == 0 {
			continue
		}
		steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":1000,"gpu":%d,"estimate_ms":%d,"data_rack":%q,"gang":%t,"same_rack":%t,"after":%s}`,
			count, s.slots*slotCPU, s.slots, s.took.Milliseconds(), s.rack, s.gang && i == 0, s.sameRack, []string{"[]", "[0]"}[i]))
		for task := range count {
			tasks = append(tasks, fmt.Sprintf(".0.%d.%d", i, task))
		}
	}
	return fmt.Sprintf(`{"spec":"x","steps":[%s]}`, strings.Join(steps, ",")), tasks
}

// room returns how many tasks must fit for a job of the shape to count as beside room: those of a gang need it at the same time.
func (s jobShape) room() int {
	room := cmp.Or(s.roomFactor, lostRoom)
	if s.gang {
		room *= s.first
	}
	return room
}
