package crowd_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
)

const (
	denseClients  = 50
	denseRounds   = 3        // messages of each client
	decodedLength = 15 << 20 // of a compressed message, which is far shorter
	emptySteps    = 250_000  // of a job in a message; each takes a byte
)

// Guards against short messages at the server for other instances that take far more memory once they are decoded than was counted.
func TestMessagesThatGrowWhenDecoded(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	plain := http.Header{"Content-Type": {"application/cbor"}, "Connect-Protocol-Version": {"1"}}
	zipped := plain.Clone()
	zipped.Set("Content-Encoding", "gzip")
	for name, c := range map[string]struct {
		path    string
		header  http.Header
		message []byte
	}{
		"compressed": {path: "/peer/job-state", header: zipped, message: compressedMessage(t)},
		"dense":      {path: "/peer/change", header: plain, message: denseMessage(t)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			site := newPlatformSite(t, binary)
			p := site.start(t)
			callers, peers := site.doors()
			g.Eventually(callers.serve, startTimeout, "100ms").Should(Succeed(), "an ordinary request before the crowd")
			sampling, endSampling := context.WithCancel(t.Context())
			defer endSampling()
			go p.sample(sampling)
			var group sync.WaitGroup
			for range denseClients {
				group.Go(func() {
					for range denseRounds {
						_ = send(http.StatusOK, http.MethodPost, "http://"+peers.address+c.path, c.header, c.message)
					}
				})
			}
			group.Wait()
			p.sampleOnce()
			t.Logf("%d bytes a message; peak: %s", len(c.message), p.peaks())
			g.Eventually(callers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request of a caller")
			g.Eventually(peers.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary call of another instance")
			p.expectWithinLimits(g)
		})
	}
}

// compressedMessage returns a message that is far longer once it is decompressed.
func compressedMessage(t *testing.T) []byte {
	t.Helper()
	g := NewWithT(t)
	message, err := cbor.Marshal(map[int][]byte{1: make([]byte, decodedLength)})
	g.Expect(err).NotTo(HaveOccurred())
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err = writer.Write(message)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.Close()).To(Succeed())
	return buffer.Bytes()
}

// denseMessage returns a submission of a job whose steps are empty.
func denseMessage(t *testing.T) []byte {
	t.Helper()
	type job struct{ Steps []struct{} }
	message, err := cbor.Marshal(map[int]job{1: {Steps: make([]struct{}, emptySteps)}})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(message)).To(BeNumerically("<", 2*emptySteps))
	return message
}
