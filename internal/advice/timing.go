package advice

import (
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	maxWorkers   = 100 // that one call may name
	usualWorkers = 30  // that one call names at most while they have room for the tasks
	// roomFactor is how many times the tasks of a step fit on the workers that a call names: not all of them will be allowed.
	roomFactor = 2
	// slowCall is how long a call may take beyond its stated time, and as long again as that.
	slowCall = 5 * time.Second
	// maxReserve and reserveShare limit what is kept of a ticket's validity for the way of the start to its worker.
	maxReserve   = 500 * time.Millisecond
	reserveShare = 4
	// maxFirstUse and firstUseShare limit how long a ticket that has just arrived counts as valid in any case.
	maxFirstUse   = 500 * time.Millisecond
	firstUseShare = 2
)

// Takes returns how long a call that names so many workers takes, by the configuration.
func Takes(t work.AdviceTiming, workers int) time.Duration {
	return t.Decision + time.Duration(workers)*t.PerWorker
}

// Timeout returns how long the answer to a call that names so many workers is waited for.
func Timeout(t work.AdviceTiming, workers int) time.Duration { return 2*Takes(t, workers) + slowCall }

// CallSize returns how many workers a call names, of those with the given places for a step's tasks; those without any come last. They hold the
// tasks with some to spare. Beyond that, more are named while they do not make the call more than twice as long as its decision.
func CallSize(t work.AdviceTiming, places []int, tasks int) int {
	cheap := usualWorkers
	if t.PerWorker > 0 {
		cheap = min(cheap, int(t.Decision/t.PerWorker))
	}
	named, room := 0, 0
	for _, here := range places[:min(len(places), maxWorkers)] {
		if named >= cheap && (here == 0 || room >= roomFactor*tasks) {
			break
		}
		room += here
		named++
	}
	return named
}

// Call is a call to the advice service.
type Call struct {
	Workers []Worker
	Timing  work.AdviceTiming
	Sent    clock.Instant
}

// expiry returns until when the tickets of an answer count as valid, and whether they may have expired on their way. The service issues them when it has decided, which takes the stated time at
// least, so that they are valid from then on at least. If it takes longer, they are most probably newer: they may be used once in any
// case.
func (c *Call) expiry(valid time.Duration, answered clock.Instant) (until clock.Instant, late bool) {
	issued := min(answered, c.Sent.Add(Takes(c.Timing, len(c.Workers))))
	until = issued.Add(valid - min(maxReserve, valid/reserveShare))
	return max(until, answered.Add(min(maxFirstUse, valid/firstUseShare))), until <= answered
}
