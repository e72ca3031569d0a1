package model_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/model"
)

// validSet returns a set without problems.
func validSet() *model.Set {
	set := model.NewSet()
	set.DataCentres["fairground"] = model.DataCentre{
		Region: "county", Service: model.ServiceIn,
		Racks: []model.Rack{{Name: "r1", Workers: 6, AcceleratorsPerWorker: 8}, {Name: "r2", Workers: 2, AcceleratorsPerWorker: 8}},
	}
	set.Customers["judges"] = model.Customer{Weight: 2}
	set.Shapes["rack-wide"] = model.Shape{Tasks: 6, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyRack}
	set.Guarantees["g1"] = model.Guarantee{Customer: "judges", Shape: "rack-wide", DataCentre: "fairground", Count: 1}
	set.JobClasses["tally"] = model.JobClass{
		Priority: model.PriorityBackground, Checkpointable: true, StopWithin: model.Duration(time.Second), DataCentres: []model.DataCentreID{"fairground"},
	}
	set.RequestClasses["check"] = model.RequestClass{
		Priority: model.PriorityUrgent, Idempotent: true, Hedge: true, Timeout: model.Duration(time.Second), Customers: []model.CustomerID{"judges"},
	}
	for _, ref := range []model.Ref{
		{Kind: model.KindDataCentre, Name: "fairground"},
		{Kind: model.KindCustomer, Name: "judges"},
		{Kind: model.KindShape, Name: "rack-wide"},
		{Kind: model.KindGuarantee, Name: "g1"},
		{Kind: model.KindJobClass, Name: "tally"},
		{Kind: model.KindRequestClass, Name: "check"},
	} {
		set.Modified[ref] = 1
	}
	return set
}

func newShape(tasks model.TaskCount, accelerators model.Accelerators, adjacency model.Adjacency) model.Shape {
	return model.Shape{Tasks: tasks, AcceleratorsPerTask: accelerators, Adjacency: adjacency}
}

var _ = Describe("Validate", func() {
	// Guards against a check that rejects a usable configuration.
	It("accepts a set without problems", func() {
		Expect(model.Validate(validSet())).To(BeEmpty())
	})

	DescribeTable("names the object and the field, so that the operator finds what to correct",
		func(corrupt func(*model.Set), want ...string) {
			set := validSet()
			corrupt(set)
			var got []string
			for _, problem := range model.Validate(set) {
				got = append(got, string(problem.Kind)+" "+problem.Name+" "+problem.Field)
			}
			Expect(got).To(ConsistOf(want))
		},
		Entry("name in upper case", func(s *model.Set) { s.Customers["Judges"] = model.Customer{} }, "customer Judges name"),
		Entry("name with two hyphens", func(s *model.Set) { s.Customers["a--b"] = model.Customer{} }, "customer a--b name"),
		Entry("empty name", func(s *model.Set) { s.Customers[""] = model.Customer{} }, "customer  name"),
		Entry("long name", func(s *model.Set) { s.Customers[model.CustomerID(strings.Repeat("a", 64))] = model.Customer{} },
			"customer "+strings.Repeat("a", 64)+" name"),
		Entry("longest name", func(s *model.Set) { s.Customers[model.CustomerID(strings.Repeat("a", 63))] = model.Customer{} }),
		Entry("negative quota and weight", func(s *model.Set) { s.Customers["judges"] = model.Customer{QuotaAccelerators: -1, Weight: -1} },
			"customer judges quota-accelerators", "customer judges weight"),
		Entry("racks", func(s *model.Set) {
			s.DataCentres["x"] = model.DataCentre{Service: "off", DrainDeadline: -1, Region: "A", Racks: []model.Rack{
				{Name: "r", Workers: 1, AcceleratorsPerWorker: 1}, {Name: "r", CoresPerWorker: -1, MemoryMBPerWorker: -1},
			}}
		}, "data-centre x service", "data-centre x drain-deadline", "data-centre x region", "data-centre x racks[1].name",
			"data-centre x racks[1].workers", "data-centre x racks[1].accelerators-per-worker",
			"data-centre x racks[1].cores-per-worker", "data-centre x racks[1].memory-mb-per-worker"),
		Entry("shape without size", func(s *model.Set) { s.Shapes["s"] = newShape(0, -1, "close") },
			"shape s tasks", "shape s accelerators-per-task", "shape s adjacency"),
		Entry("gang above the limit", func(s *model.Set) { s.Shapes["s"] = newShape(513, 1, model.AdjacencyAny) }, "shape s tasks"),
		Entry("largest gang", func(s *model.Set) { s.Shapes["s"] = newShape(512, 1, model.AdjacencyAny) }),
		Entry("broken references of a guarantee", func(s *model.Set) { s.Guarantees["g1"] = model.Guarantee{Customer: "a", Shape: "b", DataCentre: "c"} },
			"guarantee g1 customer", "guarantee g1 shape", "guarantee g1 data-centre", "guarantee g1 count"),
		Entry("guarantee on a shape wider than a rack", func(s *model.Set) { s.Shapes["rack-wide"] = newShape(7, 8, model.AdjacencyRack) }, "guarantee g1 shape"),
		Entry("the same over several racks", func(s *model.Set) { s.Shapes["rack-wide"] = newShape(8, 8, model.AdjacencyAny) }),
		Entry("guarantee on a shape wider than a worker", func(s *model.Set) { s.Shapes["rack-wide"] = newShape(2, 5, model.AdjacencyWorker) }, "guarantee g1 shape"),
		Entry("a task wider than a worker", func(s *model.Set) { s.Shapes["rack-wide"] = newShape(1, 9, model.AdjacencyAny) }, "guarantee g1 shape"),
		Entry("job class", func(s *model.Set) {
			s.JobClasses["tally"] = model.JobClass{
				Priority: "soon", StopWithin: model.Duration(5001 * time.Millisecond), QueueLimit: -1,
				Customers: []model.CustomerID{"judges", "judges", "none"}, DataCentres: []model.DataCentreID{"none"},
			}
		}, "job-class tally priority", "job-class tally stop-within", "job-class tally queue-limit",
			"job-class tally customers[1]", "job-class tally customers[2]", "job-class tally data-centres[0]"),
		Entry("checkpoint without bound", func(s *model.Set) {
			s.JobClasses["tally"] = model.JobClass{Priority: model.PriorityNormal, Checkpointable: true}
		}, "job-class tally stop-within"),
		Entry("request class", func(s *model.Set) {
			s.RequestClasses["check"] = model.RequestClass{Priority: "soon", Hedge: true, Timeout: model.Duration(30001 * time.Millisecond), QueueLimit: -1}
		}, "request-class check priority", "request-class check hedge", "request-class check timeout", "request-class check queue-limit"),
		Entry("request class without bound", func(s *model.Set) { s.RequestClasses["check"] = model.RequestClass{Priority: model.PriorityUrgent} },
			"request-class check timeout"),
		Entry("classes allowed nowhere", func(s *model.Set) { s.DataCentres = nil; s.Guarantees = nil },
			"job-class tally data-centres", "job-class tally data-centres[0]", "request-class check data-centres"),
	)
})

var _ = Describe("Diff", func() {
	It("tells added, changed and removed objects, so that a review shows what a change did", func() {
		before, after := validSet(), validSet()
		after.Delete(model.Ref{Kind: model.KindGuarantee, Name: "g1"})
		for _, object := range []model.Object{
			{Kind: model.KindCustomer, Name: "judges", Spec: []byte(`{"weight":3}`)},
			{Kind: model.KindCustomer, Name: "clerks", Spec: []byte(`{}`)},
			{Kind: model.KindShape, Name: "rack-wide", Spec: []byte(`{"adjacency":"rack","tasks":6,"accelerators-per-task":8}`), Revision: 9},
		} {
			Expect(after.Put(object)).To(Succeed())
		}
		differences, err := model.Diff(before, after)
		Expect(err).NotTo(HaveOccurred())
		Expect(differences).To(Equal([]model.Difference{
			{Ref: model.Ref{Kind: model.KindCustomer, Name: "clerks"}, Action: model.ActionAdded, After: []byte(`{}`)},
			{Ref: model.Ref{Kind: model.KindCustomer, Name: "judges"}, Action: model.ActionChanged, Before: []byte(`{"weight":2}`), After: []byte(`{"weight":3}`)},
			{
				Ref: model.Ref{Kind: model.KindGuarantee, Name: "g1"}, Action: model.ActionRemoved,
				Before: []byte(`{"customer":"judges","shape":"rack-wide","data-centre":"fairground","count":1}`),
			},
		}))
	})
})
