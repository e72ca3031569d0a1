package fakewk_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakewk"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

var _ = Describe("A worker and its client", func() {
	ctx := context.Background()
	newWorker := func() (*fakewk.Server, *worker.Client) {
		fake, network := fakewk.New("w", 8), memnet.New()
		network.SetHandler("w", fake)
		return fake, &worker.Client{Timeout: 2 * time.Second, Do: network.Transport("client").RoundTrip}
	}
	reserve := func(c *worker.Client, id model.ReservationID, n model.Accelerators, token model.Token) error {
		_, err := c.Reserve(ctx, "w", worker.Reserve{Reservation: id, Job: model.JobID(id), DataCentre: "dc", Token: token, Accelerators: n, TTLMs: 15000})
		return err
	}
	start := func(c *worker.Client, id model.TaskID, runs time.Duration) error {
		_, err := c.Start(ctx, "w", worker.Start{
			Reservation: model.ReservationID(id), Task: id, Job: model.JobID(id), DataCentre: "dc", Token: 5, LeaseMs: 15000, RunMs: runs.Milliseconds(),
		})
		return err
	}

	// Guards against a fake that reserves accelerators twice or keeps expired reservations, which would hide scheduler faults.
	It("keeps reservations until they expire and refuses more than it has", func() {
		virtual(func() {
			_, c := newWorker()
			Expect(reserve(c, "a", 6, 5)).To(Succeed())
			Expect(reserve(c, "a", 6, 5)).To(Succeed(), "the same id renews")
			reason, refused := worker.Refused(reserve(c, "b", 4, 5))
			Expect(refused).To(BeTrue())
			Expect(reason).To(Equal(worker.RefusedFull))
			time.Sleep(15 * time.Second)
			Expect(reserve(c, "b", 4, 5)).To(Succeed())
			reason, _ = worker.Refused(start(c, "a", time.Hour))
			Expect(reason).To(Equal(worker.RefusedNoReservation))
			reason, _ = worker.Refused(reserve(c, "c", 1, 4))
			Expect(reason).To(Equal(worker.RefusedStaleToken))
		})
	})

	// Guards against tasks that outlive their lease, and against starts that are not idempotent.
	It("ends tasks with their lease and keeps renewed ones", func() {
		virtual(func() {
			fake, c := newWorker()
			for _, id := range []model.TaskID{"a", "b"} {
				Expect(reserve(c, model.ReservationID(id), 4, 5)).To(Succeed())
				Expect(start(c, id, time.Hour)).To(Succeed())
				Expect(start(c, id, time.Hour)).To(Succeed())
			}
			time.Sleep(10 * time.Second)
			_, err := c.Renew(ctx, "w", worker.Renew{DataCentre: "dc", Token: 5, Jobs: []model.JobID{"a"}, LeaseMs: 15000})
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Second)
			runs := fake.Runs()
			Expect(runs).To(HaveLen(2))
			Expect(runs[0].State).To(Equal(worker.TaskRunning))
			Expect(runs[1].State).To(Equal(worker.TaskExpired))
		})
	})

	// Guards against a checkpoint that loses progress or a stop that answers before the tasks have ended.
	It("checkpoints in the stated time and keeps progress", func() {
		virtual(func() {
			fake, c := newWorker()
			fake.CheckpointTime = 3 * time.Second
			Expect(reserve(c, "a", 4, 5)).To(Succeed())
			Expect(start(c, "a", time.Hour)).To(Succeed())
			time.Sleep(7 * time.Second)
			started := time.Now()
			status, err := c.Stop(ctx, "w", worker.Stop{Job: "a", DataCentre: "dc", Token: 5, Mode: worker.ModeCheckpoint, WithinMs: 5000})
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(started)).To(Equal(3 * time.Second))
			Expect(status.Tasks[0].State).To(Equal(worker.TaskCheckpointed))
			Expect(status.Tasks[0].ProgressMs).To(BeEquivalentTo(7000))
		})
	})

	// Guards against unanswered calls reported as refusals: a refusal proves that nothing ran.
	DescribeTable("tells refusals from unanswered calls", func(faults fakewk.Faults, wantRefused bool) {
		virtual(func() {
			fake, c := newWorker()
			fake.Set(faults)
			err := reserve(c, "a", 1, 5)
			Expect(err).To(HaveOccurred())
			_, refused := worker.Refused(err)
			Expect(refused).To(Equal(wantRefused))
		})
	},
		Entry("refuses", fakewk.Faults{Refuse: true}, true), Entry("hangs", fakewk.Faults{Hang: true}, false),
		Entry("dead", fakewk.Faults{Dead: true}, false), Entry("answer lost", fakewk.Faults{LoseAnswers: 1}, false),
		Entry("slow", fakewk.Faults{DelayMs: 5000}, false),
	)

	// Guards against a fake that reports current usage, which would hide callers that ignore the report's age.
	It("reports usage with its lag", func() {
		virtual(func() {
			_, c := newWorker()
			Expect(reserve(c, "a", 4, 5)).To(Succeed())
			Expect(start(c, "a", time.Hour)).To(Succeed())
			status, err := c.State(ctx, "w")
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Usage.Busy).To(BeZero())
			time.Sleep(5 * time.Second)
			status, err = c.State(ctx, "w")
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Usage.Busy).To(BeEquivalentTo(4))
			time.Sleep(time.Minute)
		})
	})
})
