package main_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Upper bounds from section 10 of docs/design.md.
const (
	boundStop     = 35 * time.Second
	boundTakeover = 8 * time.Second
	workerLease   = 15 * time.Second
	// settleTimeout is a generous timeout for steps that have no stated bound.
	settleTimeout = 30 * time.Second
)

var _ = Describe("Real processes", Serial, func() {
	callersByClass := map[model.RequestClassID]int{"scan": 12, "tally": 4}

	// Guards against a planned stop that drops or refuses requests on existing or new connections, exceeds its bound or exits
	// with an error.
	It("stop by plan without a failed request", func() {
		cluster := startCluster(3)
		slowEndpoints(cluster)
		b := &balancer{instances: cluster.instances}
		b.refresh()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go b.run(ctx)
		load := startLoad(b, callersByClass)
		DeferCleanup(func() { load.stop() })
		stops := map[model.InstanceID]time.Time{}
		for _, inst := range cluster.instances {
			served := func() int { return len(load.answeredBy(inst.id, time.Time{})) }
			before := served()
			Eventually(served, settleTimeout).Should(BeNumerically(">", before+20), "%s serves requests", inst.id)
			stops[inst.id] = time.Now()
			Eventually(inst.session.Terminate(), boundStop).Should(gexec.Exit(0), "stop of %s", inst.id)
			GinkgoWriter.Printf("%s stopped in %s\n", inst.id, time.Since(stops[inst.id]))
			inst.start()
			Eventually(func() bool { return isReady(inst) }, settleTimeout, "50ms").Should(BeTrue(), "%s is ready again", inst.id)
		}
		all := load.stop()
		Expect(describeFailures(all)).To(BeEmpty())
		for _, inst := range cluster.instances {
			late := load.answeredBy(inst.id, stops[inst.id])
			Expect(filterResults(late, func(s requestResult) bool { return s.kept })).NotTo(BeEmpty(), "old connections of %s after the signal", inst.id)
			Expect(filterResults(late, func(s requestResult) bool { return !s.kept })).NotTo(BeEmpty(), "new connections of %s after the signal", inst.id)
		}
		GinkgoWriter.Printf("%d requests\n", len(all))
	})

	// Guards against a check that misses failed requests: without /readyz the balancer sends to an instance that has exited.
	It("stop by plan with failed requests when the balancer never looks at /readyz", func() {
		cluster := startCluster(2)
		slowEndpoints(cluster)
		load := startLoad(newStaticBalancer(cluster.instances), callersByClass)
		DeferCleanup(func() { load.stop() })
		Eventually(cluster.instances[0].session.Terminate(), boundStop).Should(gexec.Exit(0))
		Eventually(func() []string { return describeFailures(load.all()) }, settleTimeout, "50ms").
			Should(ContainElement(ContainSubstring("no instance answered")))
	})

	// Guards against gangs that end with their owner, and against a data centre that gets no new owner.
	It("is killed: gangs run on and another instance takes over", func() {
		cluster := startCluster(3)
		owner := cluster.ownerOf(north)
		operator := cluster.operator(owner)
		submitJob(operator, "gang", "batch", time.Minute)
		Eventually(pollJobState(operator, "gang"), settleTimeout, "50ms").Should(Equal("running"))
		tasks := cluster.runningTasks("gang")
		Expect(tasks).To(HaveLen(2))

		killed := time.Now()
		owner.session.Kill()
		Eventually(func() model.InstanceID { return cluster.owners()[north].Instance }, boundTakeover, "50ms").
			ShouldNot(Or(BeEmpty(), Equal(owner.id)))
		GinkgoWriter.Printf("new owner after %s\n", time.Since(killed))
		submitJob(operator, "next", "batch", time.Minute)
		Eventually(pollJobState(operator, "next"), settleTimeout, "50ms").Should(Equal("running"))
		Expect(cluster.runningTasks("next")).To(HaveLen(2))
		// Once the last lease of the killed owner has expired, tasks keep running only if the new owner renews their leases.
		Consistently(func() []model.TaskID { return cluster.runningTasks("gang") }, time.Until(killed.Add(workerLease+time.Second)), "200ms").
			Should(ConsistOf(tasks))
		Expect(pollJobState(operator, "gang")()).To(Equal("running"))
	})

	// Guards against an owner that acts on stale state after it resumes: a job started twice, or a record overwritten.
	It("is paused: nothing of the paused owner takes effect after it wakes", func() {
		cluster := startCluster(3)
		paused := cluster.ownerOf(north)
		oldToken := cluster.owners()[north].token
		operator := cluster.operator(paused)
		stopWatch := cluster.watchOverlaps()
		ids := []model.JobID{"long", "before-1", "before-2", "before-3"}
		submitJob(operator, ids[0], "batch", time.Minute)
		Eventually(pollJobState(operator, "long"), settleTimeout, "20ms").Should(Equal("running"))
		for _, id := range ids[1:] {
			submitJob(operator, id, "once", 2*time.Second)
		}
		begin := time.Now()
		Expect(paused.session.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
		Eventually(func() model.InstanceID { return cluster.owners()[north].Instance }, boundTakeover, "50ms").
			ShouldNot(Or(BeEmpty(), Equal(paused.id)))
		GinkgoWriter.Printf("new owner after %s\n", time.Since(begin))
		submitJob(operator, "during", "once", 2*time.Second)
		ids = append(ids, "during", "after")
		time.Sleep(time.Until(begin.Add(9 * time.Second)))

		owner := cluster.owners()[north]
		Expect(owner.token).To(BeNumerically(">", oldToken))
		before, err := cluster.tasks()
		Expect(err).NotTo(HaveOccurred())
		wakeRevision := cluster.listEntries("/owner/").Revision
		wakeTime := time.Now()
		Expect(paused.session.Command.Process.Signal(syscall.SIGCONT)).To(Succeed())
		submitJob(operator, "after", "batch", 2*time.Second)

		// Checks the records in each poll after the owner resumes, until all jobs have reached one of these states.
		final := []string{"running", "done", "failed", "cancelled", "unknown"}
		Eventually(func(g Gomega) {
			for _, record := range cluster.records(north) {
				if record.revision > wakeRevision && record.Owner == paused.id && record.Token <= oldToken {
					StopTrying(fmt.Sprintf("job %s was written by %s with its old token %d", record.Spec.ID, paused.id, oldToken)).Now()
				}
			}
			for _, id := range ids {
				g.Expect(pollJobState(operator, id)()).To(BeElementOf(final), "job %s", id)
			}
			g.Expect(time.Since(begin)).To(BeNumerically(">", 12*time.Second))
		}, settleTimeout, "50ms").Should(Succeed())

		after, err := cluster.tasks()
		Expect(err).NotTo(HaveOccurred())
		for job, tasks := range after {
			for task := range tasks {
				if _, known := before[job][task]; !known {
					Expect(string(task)).NotTo(ContainSubstring(fmt.Sprintf("/%d.", oldToken)), "started with the paused owner's token")
				}
			}
			if job != "long" && job != "after" {
				Expect(len(tasks)).To(BeNumerically("<=", 2), "job %s must not be repeated", job)
			}
		}
		Expect(cluster.runningTasks("long")).To(HaveLen(2))
		records := cluster.records(north)
		kept := cluster.owners()[north] == owner
		for id, record := range records {
			for _, entry := range record.History {
				// If the paused instance became the owner again, it may write with a new token.
				if kept && entry.At.After(wakeTime) {
					Expect(entry.Instance).NotTo(Equal(paused.id), "job %s: %s", id, entry.Action)
				}
			}
			GinkgoWriter.Printf("%s: %s, owner %s, token %d\n", id, record.State, record.Owner, record.Token)
		}
		Expect(stopWatch()).To(BeEmpty())
	})

	// Guards against an overlap check that never reports anything.
	It("is paused: the check reports attempts that overlap", func() {
		runningTasks := map[model.JobID]map[model.TaskID]worker.TaskState{"j": {
			"j/7.1.0": worker.TaskRunning, "j/7.1.1": worker.TaskRunning, "j/9.1.0": worker.TaskRunning,
		}}
		Expect(overlappingAttempts(runningTasks, runningTasks)).To(ConsistOf("job j has 2 attempts at once"))
		ended := map[model.JobID]map[model.TaskID]worker.TaskState{"j": {
			"j/7.1.0": worker.TaskDone, "j/7.1.1": worker.TaskDone, "j/9.1.0": worker.TaskRunning,
		}}
		Expect(overlappingAttempts(runningTasks, ended)).To(BeEmpty())
	})

	// Guards against requests that wait until their deadline on a silent connection.
	It("connections go silent: no request fails or waits for its timeout", func() {
		cluster := startCluster(2)
		load := startLoad(newStaticBalancer(cluster.instances), map[model.RequestClassID]int{"scan": 12})
		DeferCleanup(func() { load.stop() })
		time.Sleep(1500 * time.Millisecond)
		silentSince := time.Now()
		cluster.setFaults("north-e1", `{"silent":true}`)
		time.Sleep(2500 * time.Millisecond)
		all := load.stop()
		Expect(describeFailures(all)).To(BeEmpty())
		retried := filterResults(all, func(s requestResult) bool { return s.end.After(silentSince) && s.attempts > 1 })
		Expect(retried).NotTo(BeEmpty(), "requests that used a silent connection")
		slowest := time.Duration(0)
		for _, s := range all {
			slowest = max(slowest, s.end.Sub(s.begin))
		}
		GinkgoWriter.Printf("%d requests, %d sent again, slowest %s\n", len(all), len(retried), slowest)
		// An answer is overdue after 3 times the class's 99th percentile, at least 250 ms (section 8.3). The margin up to 1.5 s
		// allows for a busy machine and stays far below the timeout of 10 s.
		Expect(slowest).To(BeNumerically("<", 1500*time.Millisecond))
	})

	// Guards against idempotent requests that depend on the store, and against other requests sent without a durable claim.
	It("the store is down: scans go on, tallies are refused without a run and work again afterwards", func() {
		cluster := startCluster(3)
		load := startLoad(newStaticBalancer(cluster.instances), callersByClass)
		DeferCleanup(func() { load.stop() })
		time.Sleep(500 * time.Millisecond)
		cluster.setFaults("store", `{"down":true}`)
		down := time.Now()
		time.Sleep(10 * time.Second)
		up := time.Now()
		cluster.setFaults("store", `{}`)
		Eventually(func() error {
			return sendRequest(http.DefaultClient, cluster.instances[0].url("callers"), "tally", client.NewRequestID()).err
		}, settleTimeout, "200ms").Should(Succeed())
		completedTallies := func() []requestResult {
			return filterResults(load.all(), func(s requestResult) bool { return s.class == "tally" && s.begin.After(up) && s.err == nil })
		}
		Eventually(completedTallies, settleTimeout, "200ms").ShouldNot(BeEmpty())
		all := load.stop()
		requestRuns := cluster.requestRuns()
		resultsDuring := func(class model.RequestClassID) []requestResult {
			return filterResults(all, func(s requestResult) bool { return s.class == class && s.begin.After(down) && s.end.Before(up) })
		}
		Expect(resultsDuring("scan")).NotTo(BeEmpty())
		Expect(describeFailures(filterResults(all, func(s requestResult) bool { return s.class == "scan" }))).To(BeEmpty())
		Expect(resultsDuring("tally")).NotTo(BeEmpty())
		for _, s := range resultsDuring("tally") {
			Expect(s.outcome()).To(Equal(reply.OutcomeRefused), "%v", s)
		}
		for _, s := range all {
			switch {
			case s.outcome() == reply.OutcomeRefused:
				Expect(requestRuns[s.id]).To(BeZero(), "%v", s)
			case s.class == "tally":
				Expect(requestRuns[s.id]).To(BeNumerically("<=", 1), "%v", s)
			}
		}
		GinkgoWriter.Printf("%d scans and %d tallies while the store was down\n", len(resultsDuring("scan")), len(resultsDuring("tally")))
	})
})

// slowEndpoints makes request runs long enough that requests are in flight when an instance stops.
func slowEndpoints(cluster *testCluster) {
	for _, m := range cluster.machines {
		if m.Kind == "endpoint" {
			cluster.setFaults(m.Name, `{"slow-ms":100}`)
		}
	}
}

// submitJob submits a job of two tasks to the data centre north. It retries, which is safe because submissions are idempotent.
func submitJob(operator *client.Operator, id model.JobID, class model.JobClassID, run time.Duration) {
	GinkgoHelper()
	job := client.Job{ID: id, Customer: customer, Class: class, Shape: "pair", DataCentre: north, RunTime: model.Duration(run)}
	Eventually(func() error {
		_, err := operator.Submit(context.Background(), job)
		return err
	}, settleTimeout, "100ms").Should(Succeed(), "job %s", id)
}

// pollJobState returns a function that reads the state of a job; an error is returned as text.
func pollJobState(operator *client.Operator, id model.JobID) func() string {
	return func() string {
		record, err := operator.Get(context.Background(), id)
		if err != nil {
			return err.Error()
		}
		return record.State
	}
}

// all returns a copy of the results so far.
func (l *loadGenerator) all() []requestResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]requestResult{}, l.results...)
}

// answeredBy returns the requests that an instance answered after the given time.
func (l *loadGenerator) answeredBy(id model.InstanceID, after time.Time) []requestResult {
	return filterResults(l.all(), func(s requestResult) bool { return s.instance == id && s.end.After(after) })
}

// watchOverlaps polls for jobs with several attempts that run at once. The returned function ends the polling and returns the
// violations found.
func (c *testCluster) watchOverlaps() func() []string {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var found []string
	var group sync.WaitGroup
	group.Go(func() {
		samples := 0
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			first, err := c.tasks()
			second, secondErr := c.tasks()
			if err != nil || secondErr != nil {
				found = append(found, fmt.Sprintf("reading workers: %v, %v", err, secondErr))
				return
			}
			samples++
			found = append(found, overlappingAttempts(first, second)...)
		}
		if samples == 0 {
			found = append(found, "no snapshot of the workers was taken")
		}
	})
	return func() []string {
		cancel()
		group.Wait()
		return found
	}
}

// overlappingAttempts reports jobs with several attempts whose tasks run in both of two successive snapshots of all workers;
// such tasks ran at the same time between the snapshots. Task ids are <job>/<token>.<attempt>.<number>.
func overlappingAttempts(first, second map[model.JobID]map[model.TaskID]worker.TaskState) []string {
	var found []string
	for job, tasks := range first {
		attempts := map[string]bool{}
		for task, state := range tasks {
			if state == worker.TaskRunning && second[job][task] == worker.TaskRunning {
				attempts[string(task)[:strings.LastIndex(string(task), ".")]] = true
			}
		}
		if len(attempts) > 1 {
			found = append(found, fmt.Sprintf("job %s has %d attempts at once", job, len(attempts)))
		}
	}
	return found
}
