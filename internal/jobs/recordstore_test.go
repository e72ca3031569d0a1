package jobs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

func newRecordStore() (*jobs.RecordStore, *fakekv.Server) {
	kv, network := fakekv.New(), memnet.New()
	network.SetHandler("kv", kv)
	return &jobs.RecordStore{Store: &store.Client{BaseURL: "http://kv", Timeout: time.Second, Do: network.Transport("jobs").RoundTrip}}, kv
}

func newRecord(dc model.DataCentreID, id model.JobID) jobs.Record {
	return jobs.Record{Spec: jobs.Spec{ID: id, Payload: json.RawMessage(`{"a": 1}`)}, State: jobs.StateQueued, DataCentre: dc}
}

var _ = Describe("RecordStore", func() {
	ctx := context.Background()

	// Guards against ids that address the keys of another job or data centre.
	DescribeTable("keeps records apart", func(id model.JobID) {
		recordStore, _ := newRecordStore()
		stored, err := recordStore.Create(ctx, newRecord("dc", id))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(BeEquivalentTo(1))
		read, err := recordStore.Get(ctx, "dc", id)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Spec.ID).To(Equal(id))
		Expect(read.Spec.Equal(newRecord("dc", id).Spec)).To(BeTrue())
		others, err := recordStore.List(ctx, "dc/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(others).To(BeEmpty())
	},
		Entry("slash", model.JobID("x/y")), Entry("dots", model.JobID("../dc2/x")), Entry("percent", model.JobID("50%2F")),
		Entry("space and umlaut", model.JobID("große Wertung")), Entry("query", model.JobID("a?version=3#x")),
	)

	// Guards against a write with a lost answer that is reported as a conflict, or as a success when another writer won.
	It("resolves writes whose answer was lost", func() {
		recordStore, kv := newRecordStore()
		kv.Set(fakekv.Faults{LoseAnswers: 2})
		stored, err := recordStore.Create(ctx, newRecord("dc", "j"))
		Expect(err).NotTo(HaveOccurred())
		kv.Set(fakekv.Faults{LoseAnswers: 1})
		stored.State = jobs.StateStarting
		stored, err = recordStore.Update(ctx, stored)
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Version).To(BeEquivalentTo(2))
		kv.Set(fakekv.Faults{LoseAnswers: 9})
		stored.State = jobs.StateRunning
		_, err = recordStore.Update(ctx, stored)
		var unavailable *store.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
		Expect(unavailable.MaybeApplied).To(BeTrue(), "no answer arrived at all")
	})

	// Guards against a write in doubt that is reported as not applied because a later attempt was refused.
	It("keeps a write in doubt when the store goes down after a lost answer", func() {
		recordStore, kv := newRecordStore()
		inner := recordStore.Store.Do
		sends := 0
		recordStore.Store.Do = func(req *http.Request) (*http.Response, error) {
			if sends++; sends == 2 {
				kv.Set(fakekv.Faults{Down: true})
			}
			return inner(req)
		}
		kv.Set(fakekv.Faults{LoseAnswers: 1})
		_, err := recordStore.Create(ctx, newRecord("dc", "j"))
		var unavailable *store.UnavailableError
		Expect(errors.As(err, &unavailable)).To(BeTrue())
		Expect(unavailable.MaybeApplied).To(BeTrue())
	})

	// Guards against two concurrent updates that both succeed.
	It("lets one of two writers win", func() {
		recordStore, _ := newRecordStore()
		first, err := recordStore.Create(ctx, newRecord("dc", "j"))
		Expect(err).NotTo(HaveOccurred())
		cancelled := first
		cancelled.CancelRequested = true
		_, err = recordStore.Update(ctx, cancelled)
		Expect(err).NotTo(HaveOccurred())
		_, err = recordStore.Update(ctx, first)
		var changed *jobs.ChangedError
		Expect(errors.As(err, &changed)).To(BeTrue())
		Expect(changed.Current.CancelRequested).To(BeTrue())
	})

	// Guards against a move that loses or duplicates the job when the process crashes at any of its writes.
	It("completes a move after a crash at any step", func() {
		for crash := range 4 {
			recordStore, _ := newRecordStore()
			old, err := recordStore.Create(ctx, newRecord("a", "j"))
			Expect(err).NotTo(HaveOccurred())
			inner, writes := recordStore.Store.Do, 0
			recordStore.Store.Do = func(req *http.Request) (*http.Response, error) {
				if writes++; writes > crash {
					return nil, errors.New("crashed")
				}
				return inner(req)
			}
			_, err = recordStore.Move(ctx, old, "b", jobs.Note{Action: "moved"})
			Expect(err == nil).To(Equal(crash == 3), "crash after %d writes: %v", crash, err)
			recordStore.Store.Do = inner
			left, err := recordStore.Get(ctx, "a", "j")
			if err == nil && left.State == jobs.StateMoved {
				_, err = recordStore.CompleteMove(ctx, left)
				Expect(err).NotTo(HaveOccurred())
			}
			var live []jobs.Record
			for _, dc := range []model.DataCentreID{"a", "b"} {
				records, err := recordStore.List(ctx, dc)
				Expect(err).NotTo(HaveOccurred())
				live = append(live, records...)
			}
			Expect(live).To(HaveLen(1), "crash after %d writes", crash)
			Expect(live[0].State).To(Equal(jobs.StateQueued))
		}
	})

	// Guards against a job in two data centres after two concurrent submissions.
	It("gives an id to the first claim only", func() {
		recordStore, kv := newRecordStore()
		kv.Set(fakekv.Faults{LoseAnswers: 1})
		dc, _, err := recordStore.Claim(ctx, "j", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(dc).To(BeEquivalentTo("a"))
		dc, first, err := recordStore.Claim(ctx, "j", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeFalse())
		Expect(dc).To(BeEquivalentTo("a"))
	})

	// Guards against records that are removed before EndedRetention or without the rate limit.
	It("removes old ended records only, at the given rate", func() {
		recordStore, _ := newRecordStore()
		now := time.Now()
		for id, age := range map[model.JobID]time.Duration{"old": 8 * 24 * time.Hour, "new": time.Hour, "open": 0} {
			r := newRecord("dc", id)
			if id != "open" {
				r.End(jobs.StateDone, "done", "", now.Add(-age), "")
			}
			_, err := recordStore.Create(ctx, r)
			Expect(err).NotTo(HaveOccurred())
		}
		waits := 0
		removed, err := recordStore.RemoveEnded(ctx, "dc", now, func(context.Context) error { waits++; return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(removed).To(Equal(1))
		Expect(waits).To(Equal(2))
		Expect(recordStore.List(ctx, "dc")).To(HaveLen(2))
	})
})

var _ = Describe("Record", func() {
	// Guards against histories that grow without bound or lose the note of the submission.
	It("keeps the first and the newest notes", func() {
		r := newRecord("dc", "j")
		for i := range 100 {
			r.Note(jobs.Note{Action: fmt.Sprint(i)})
		}
		Expect(r.History).To(HaveLen(jobs.MaxNotes))
		Expect(r.History[0].Action).To(Equal("0"))
		Expect(r.History[jobs.MaxNotes-1].Action).To(Equal("99"))
	})

	// Guards against a record of the largest gang that exceeds the store's size limit.
	It("stays far below the store's limit with 512 tasks", func() {
		r := newRecord("dc", model.JobID(strings.Repeat("j", 200)))
		for i := range 512 {
			name := fmt.Sprintf("%s/%d.%d.%d", r.Spec.ID, 1<<40, 99, i)
			r.Placement = append(r.Placement, jobs.Placement{Task: model.TaskID(name), Worker: "worker-0001", Rack: "rack-01", Reservation: model.ReservationID(name)})
		}
		data, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", store.MaxValueBytes/2))
	})
})
