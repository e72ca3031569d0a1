package chief_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// logBuffer keeps the lines of a log. The methods may be used concurrently.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines bytes.Buffer
}

// Write adds a line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

// count returns the number of lines that hold all parts.
func (b *logBuffer) count(parts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := 0
next:
	for line := range strings.Lines(b.lines.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue next
			}
		}
		found++
	}
	return found
}

func logTo(b *logBuffer) func(*instance) {
	return func(i *instance) { i.log = zerolog.New(b) }
}

// Guards against a line that tells the end of a job as stored while it is known to the leader alone: after a change of leader an
// engineer would look for the fault in the wrong place.
func TestEndOfJobIsLoggedOnceStored(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		var lines logBuffer
		leader := env.start("a", logTo(&lines))
		env.submit(newJob("00000000000000f1", "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f1", 0))) == 1 })
		env.store.SetFault(fakepl.FaultOn(fakepl.Silent, fakepl.PathTxn))
		env.await(4*time.Second, "the job is over", func() bool { return lines.count("chief: job over", "00000000000000f1") == 1 })
		env.await(4*time.Second, "a write of it fails", func() bool { return lines.count("chief: write failed", `"what":"progress"`) > 0 })
		env.Expect(lines.count("chief: end of job stored")).To(Equal(0))
		env.Expect(leader.state("00000000000000f1")).NotTo(Equal(work.StateCompleted))
		env.store.SetFault(nil)
		env.await(4*time.Second, "its end is stored", func() bool { return leader.state("00000000000000f1") == work.StateCompleted })
		env.Expect(lines.count("chief: end of job stored", "00000000000000f1", "completed")).To(Equal(1))
		env.Expect(lines.count("chief: progress stored again")).To(Equal(1))
	})
}

// Guards against a leader that ends with ends known to it and its workers alone, without a trace of them.
func TestTermLeavesUnstoredEnds(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) {
		var lines logBuffer
		leader := env.start("a", logTo(&lines))
		env.submit(newJob("00000000000000f2", "scan", 1, 1))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f2", 0))) == 1 })
		env.store.SetFault(func(string) fakepl.Fault { return fakepl.Silent })
		env.await(4*time.Second, "the job is over", func() bool { return lines.count("chief: job over", "00000000000000f2") == 1 })
		leader.kill()
		env.await(2*time.Second, "the term ends", func() bool { return lines.count("chief: term left") == 1 })
		env.Expect(lines.count("chief: term left", `"unstored-jobs":1`, `"unstored-ends":1`)).To(Equal(1))
	})
}

// Guards against a step that waits without a line, and against a line for each planning pass in which it waits.
func TestWaitIsLoggedOnce(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		var lines logBuffer
		env.start("a", logTo(&lines))
		env.submit(newJob("00000000000000f3", "scan", 1, 8))
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f3", 0))) == 1 })
		env.submit(newJob("00000000000000f4", "scan", 1, 8))
		env.await(5*time.Second, "the next one runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f4", 0))) == 1 })
		env.Expect(lines.count("chief: step waits\"", "00000000000000f4.0.0", `"why":"room"`)).To(Equal(1))
		env.Expect(lines.count("chief: step waits no more", "00000000000000f4.0.0")).To(Equal(1))
		env.Expect(lines.count("chief: step waits\"", "00000000000000f3")).To(Equal(0))
	})
}

// Guards against a long wait of which only the room of its first second is known, and not whether a rack could hold the gang at all.
func TestLongWaitIsLoggedAgainWithTheRoomOfThen(t *testing.T) {
	withTestEnv(t, 4, func(env *testEnv) {
		var lines logBuffer
		env.fleet.Outcome = runsOf(2 * time.Second)
		env.start("a", logTo(&lines))
		env.sleep(3 * time.Second)
		env.submit(newLoad("f000000000000003", "r1", 2, 8))
		env.sleep(time.Second)
		gang := newJob("00000000000000fa", "scan", 3, 8)
		gang.Steps[0].SameRack = true
		env.submit(env.asGang(gang))
		env.sleep(12 * time.Second)
		env.Expect(lines.count("chief: step waits\"", "00000000000000fa.0.0", `"room":2`, `"rack-holds":2`)).To(Equal(3))
	})
}

// Guards against counts of ends that include those of earlier terms: a worker numbers its ends on, and a successor would seem to store
// more ends than were listed to it.
func TestCountsOfEndsCoverOneTerm(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		first := env.start("a", nil)
		env.submit(newJob("00000000000000f5", "scan", 4, 1))
		env.await(8*time.Second, "the first job's ends are acknowledged", func() bool { return first.endsAt(chief.EndAcknowledged) == 4 })
		first.kill()
		second := env.start("b", nil)
		env.await(5*time.Second, "b leads", func() bool { return second.chief.Load() != nil })
		env.submit(newJob("00000000000000f6", "scan", 2, 1))
		env.await(8*time.Second, "the second job's ends are acknowledged", func() bool { return second.endsAt(chief.EndAcknowledged) > 0 })
		env.sleep(time.Second)
		for _, step := range []chief.EndStep{chief.EndListed, chief.EndStored, chief.EndAcknowledged} {
			env.Expect(second.endsAt(step)).To(Equal(2), string(step))
		}
	})
}

// Guards against one word for workers that are full and for room that is kept free: an engineer could not tell which of them holds a
// step back.
func TestWaitNamesWhatKeepsRoomFree(t *testing.T) {
	withTestEnv(t, 2, func(env *testEnv) { // One worker in each of two racks.
		var lines logBuffer
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		env.start("a", logTo(&lines))
		first := newJob("00000000000000f7", "scan", 1, 8)
		first.Steps[0].DataRack = "r1"
		env.submit(first)
		env.await(5*time.Second, "it runs", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f7", 0))) == 1 })
		second := newJob("00000000000000f8", "scan", 1, 8)
		second.Steps[0].DataRack = "r1"
		env.submit(second)
		env.await(1500*time.Millisecond, "its wait is logged", func() bool { return lines.count("chief: step waits\"", "00000000000000f8") == 1 })
		env.Expect(lines.count("00000000000000f8", `"why":"rack of its data, or one rack"`, `"room":1`)).To(Equal(1))
		env.await(8*time.Second, "it runs in the other rack", func() bool { return len(env.fleet.RunningOn(taskID("00000000000000f8", 0))) == 1 })
		third := newJob("00000000000000f9", "scan", 1, 8)
		env.submit(third)
		env.await(1500*time.Millisecond, "its wait is logged", func() bool { return lines.count("chief: step waits\"", "00000000000000f9") == 1 })
		env.Expect(lines.count("00000000000000f9", `"why":"room"`, `"room":0`)).To(Equal(1))
	})
}

// Guards against logs of an instance that does not lead from which nobody can tell whose log has the lines of a job.
func TestEachInstanceLogsWhoLeads(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		var lines logBuffer
		leader := env.start("a", nil)
		env.await(5*time.Second, "a leads", func() bool { return leader.chief.Load() != nil })
		env.start("b", logTo(&lines))
		env.await(time.Second, "b logs it", func() bool { return lines.count("elect: leader known", `"leader":"a"`) == 1 })
		leader.kill()
		env.await(5*time.Second, "b leads", func() bool { return lines.count("elect: leader known", `"leader":"b"`) == 1 })
		env.Expect(lines.count("elect: no leader known")).To(Equal(1))
	})
}

// Guards against a job that is shown as queued, and counted as never started, while it runs: the answer to its start was lost, and a poll
// reports the run.
func TestStartThatAPollReportsCounts(t *testing.T) {
	withTestEnv(t, 1, func(env *testEnv) {
		env.fleet.Outcome = func(string, int64, string) fakepl.Outcome { return fakepl.Outcome{After: time.Minute, How: "done"} }
		leader := env.start("a", nil)
		env.sleep(3 * time.Second)
		env.workers[0].LateBy = 100 * time.Millisecond
		env.workers[0].SetFault(fakepl.FaultOn(fakepl.DelayedExecution, fakepl.PathStart))
		env.submit(newJob("00000000000000fb", "scan", 1, 1))
		env.await(3*time.Second, "it is shown as running", func() bool { return leader.state("00000000000000fb") == work.StateRunning })
	})
}
