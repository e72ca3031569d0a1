package chief_test

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stallingLog is a log that blocks its writer for a time at the first line that holds a text.
type stallingLog struct {
	text    string
	stall   time.Duration
	stalled atomic.Bool
}

// Write ignores a line.
func (l *stallingLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(l.text)) && l.stalled.CompareAndSwap(false, true) {
		time.Sleep(l.stall)
	}
	return len(line), nil
}

// Guards against a leader that plans nothing for several times as long as one planning pass was held up, by a stall of its machine or of
// its log, while its term goes on.
func TestPlanningGoesOnSoonAfterAPassWasHeldUp(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		watch := env.watchStanding()
		env.fleet.Outcome = runsOf(2 * time.Second)
		log := &stallingLog{text: "chief: run ordered", stall: 1200 * time.Millisecond}
		env.start("a", func(i *instance) { i.log = zerolog.New(log) })
		env.sleep(3 * time.Second)
		watch.load(newJob("0000000000000a10", "scan", 1, 1))
		env.sleep(100 * time.Millisecond)
		watch.submit(newJob("0000000000000a11", "scan", 1, 1))
		env.sleep(10 * time.Second)
		watch.expectNoneStood()
	})
}
