package examples_test

import (
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/model"
)

// layout has the fields of the stand-in layout that must match the objects.
type layout struct {
	FirstPort   int `json:"first-port"`
	DataCentres []struct {
		Name      model.DataCentreID `json:"name"`
		Endpoints int                `json:"endpoints"`
		Slots     int                `json:"slots"`
		Racks     []struct {
			Name         model.RackID       `json:"name"`
			Workers      int                `json:"workers"`
			Accelerators model.Accelerators `json:"accelerators"`
			Cores        int                `json:"cores"`
			MemoryMB     int                `json:"memory-mb"`
		} `json:"racks"`
	} `json:"data-centres"`
}

// loadExample returns the objects and the stand-in layout of a deployment.
func loadExample(deployment string) (*model.Set, layout) {
	files, err := object.Load(filepath.Join(deployment, "objects"))
	Expect(err).NotTo(HaveOccurred())
	set, err := files.Set()
	Expect(err).NotTo(HaveOccurred())
	document, err := jsonc.Open(filepath.Join(deployment, "standin.jsonc"))
	Expect(err).NotTo(HaveOccurred())
	var l layout
	document.Decode(&l)
	Expect(document.Err()).NotTo(HaveOccurred())
	return set, l
}

// expectedSize is the size of a deployment as stated in section 3 of docs/design.md. maxPerRack is the maximum number of workers
// in a rack.
type expectedSize struct{ dataCentres, maxPerRack, memoryMB int }

var _ = Describe("examples", func() {
	// Guards against examples that no longer load, or whose sizes differ from those behind the stated figures.
	DescribeTable("have the stated sizes", func(deployment string, want expectedSize) {
		set, layout := loadExample(deployment)
		Expect(set.DataCentres).To(HaveLen(want.dataCentres))
		Expect(layout.DataCentres).To(HaveLen(want.dataCentres))
		Expect(set.Customers).To(HaveLen(4))
		workers, endpoints := 0, 0
		for _, dc := range layout.DataCentres {
			endpoints += dc.Endpoints
			Expect(dc.Slots).To(Equal(8))
			object := set.DataCentres[dc.Name]
			Expect(object.Racks).To(HaveLen(len(dc.Racks)))
			for i, rack := range dc.Racks {
				Expect(object.Racks[i]).To(Equal(model.Rack{
					Name: rack.Name, Workers: rack.Workers, AcceleratorsPerWorker: rack.Accelerators,
					CoresPerWorker: rack.Cores, MemoryMBPerWorker: rack.MemoryMB,
				}))
				Expect(rack.Workers).To(BeNumerically("<=", want.maxPerRack))
				Expect([]int{int(rack.Accelerators), rack.Cores, rack.MemoryMB}).To(Equal([]int{8, 64, want.memoryMB}))
				workers += rack.Workers
			}
		}
		Expect([]int{workers, endpoints}).To(Equal([]int{50, 50}))
	},
		Entry("Hollow Creek", "hollow-creek", expectedSize{4, 6, 256 << 10}),
		Entry("Casco Limpio", "casco-limpio", expectedSize{3, 8, 128 << 10}),
	)

	// Guards against guarantees that reference missing objects or exceed the quota of their customer.
	DescribeTable("have guarantees of existing objects within the quotas", func(deployment string) {
		set, _ := loadExample(deployment)
		guaranteed := map[model.CustomerID]model.Accelerators{}
		for name, guarantee := range set.Guarantees {
			Expect(set.Customers).To(HaveKey(guarantee.Customer), string(name))
			Expect(set.Shapes).To(HaveKey(guarantee.Shape), string(name))
			Expect(set.DataCentres).To(HaveKey(guarantee.DataCentre), string(name))
			guaranteed[guarantee.Customer] += model.Accelerators(guarantee.Count) * set.Shapes[guarantee.Shape].Accelerators()
		}
		for customer, accelerators := range guaranteed {
			Expect(accelerators).To(BeNumerically("<=", set.Customers[customer].QuotaAccelerators), string(customer))
		}
	},
		Entry("Hollow Creek", "hollow-creek"),
		Entry("Casco Limpio", "casco-limpio"),
	)

	// Guards against classes of work that must run at most once but are declared idempotent or stoppable.
	It("never repeat work that must run at most once", func() {
		set, _ := loadExample("hollow-creek")
		Expect(set.RequestClasses["tally"].Idempotent).To(BeFalse())
		Expect(set.JobClasses["tally"].Stoppable()).To(BeFalse())
		set, _ = loadExample("casco-limpio")
		Expect(set.RequestClasses["damage-check"].Idempotent).To(BeFalse())
	})

	// Guards against settings that name a missing data centre or do not match the ports of the stand-in.
	DescribeTable("have settings of three instances that find the stand-in", func(deployment string) {
		set, layout := loadExample(deployment)
		for i := 1; i <= 3; i++ {
			settings, err := params.Load(filepath.Join(deployment, fmt.Sprintf("entry-%d.jsonc", i)))
			Expect(err).NotTo(HaveOccurred())
			Expect(set.DataCentres).To(HaveKey(settings.DataCentre))
			Expect(settings.Store.URL).To(Equal(fmt.Sprintf("http://127.0.0.1:%d", layout.FirstPort+1)))
			Expect(settings.VMList.URL).To(Equal(fmt.Sprintf("http://127.0.0.1:%d", layout.FirstPort+2)))
		}
	},
		Entry("Hollow Creek", "hollow-creek"),
		Entry("Casco Limpio", "casco-limpio"),
	)
})
