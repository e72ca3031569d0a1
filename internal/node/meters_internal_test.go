package node

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/speed"
	"peridotgw.example/peridotgw/internal/work"
)

// Guards against metrics that grow with each image that a caller has ever named.
func TestCorrectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	m := newMeters()
	series := func(name string) int {
		families, err := m.set.Registry.Gather()
		g.Expect(err).NotTo(HaveOccurred())
		count := 0
		for _, family := range families {
			if strings.HasSuffix(family.GetName(), name) {
				count += len(family.GetMetric())
			}
		}
		return count
	}
	observer := m.observer()
	for _, image := range []work.Image{"a", "b", "c"} {
		observer.Corrections(map[speed.Kind]float64{{Queue: "scan", Image: image}: 1})
	}
	g.Expect(series("estimate_correction")).To(Equal(1))
}
