package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// ciSeeds are fixed, and hold those that ever failed, each with its cause.
var ciSeeds = []uint64{1, 2} //nolint:gochecknoglobals // a constant list

// Guards against promises that break under faults from outside the processes.
func TestSoak(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "peridotd")
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", binary, "peridotgw.example/peridotgw/peridotd")
	build.Stderr = os.Stderr
	g.Expect(build.Run()).To(Succeed())
	for _, seed := range ciSeeds {
		violations, summary, err := runSeed(t.Context(), options{
			binary: binary, dir: dir, nodes: 3, workers: 8, faults: 8 * time.Second, calm: 25 * time.Second, rate: 3,
		}, seed)
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("seed %d: %s", seed, summary)
		g.Expect(violations).To(BeEmpty())
	}
}

// Guards against seeds that are read as others than asked for.
func TestParseSeeds(t *testing.T) {
	for _, c := range []struct {
		text        string
		first, last uint64
		fails       bool
	}{
		{text: "7", first: 7, last: 7},
		{text: "3-9", first: 3, last: 9},
		{text: "9-3", fails: true},
		{text: "x", fails: true},
	} {
		t.Run(c.text, func(t *testing.T) {
			g := NewWithT(t)
			first, last, err := parseSeeds(c.text)
			if c.fails {
				g.Expect(err).To(HaveOccurred())
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect([]uint64{first, last}).To(Equal([]uint64{c.first, c.last}))
		})
	}
}
