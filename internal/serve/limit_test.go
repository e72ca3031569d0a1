package serve_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/serve"
)

const bodyLimit = 256 << 10

// shedCounter counts what a server sheds.
type shedCounter struct {
	mu     sync.Mutex
	counts map[serve.Shed]int
}

func (c *shedCounter) observe(reason serve.Shed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[reason]++
}

func (c *shedCounter) count(reason serve.Shed) func() int {
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.counts[reason]
	}
}

// newBodyRig returns a server that reads bodies and answers their length.
func newBodyRig(t *testing.T) (*rig, *shedCounter) {
	t.Helper()
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		body, err := serve.ReadBody(req.Context(), w, req, bodyLimit)
		var refused *serve.BodyError
		if errors.As(err, &refused) {
			w.WriteHeader(refused.Status())
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	counter := &shedCounter{counts: map[serve.Shed]int{}}
	r.ObserveShed = counter.observe
	return r, counter
}

func (r *rig) post(c net.Conn, length, sent int) {
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	r.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a body inside the limits that is refused because it arrives slowly, over more than the longest pause in all.
func TestSlowBodyInsideTheLimitsIsServed(t *testing.T) {
	t.Parallel()
	r, counter := newBodyRig(t)
	r.Bodies = budget.New(4 << 20)
	r.run(t)
	c := r.dial()
	r.post(c, bodyLimit, 0)
	const pieces = 16
	for range pieces {
		_, err := io.WriteString(c, strings.Repeat("x", bodyLimit/pieces))
		r.g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(250 * time.Millisecond)
	}
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusOK))
	r.g.Expect(counter.counts).To(BeEmpty())
	r.send(c)
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusOK), "a further request on the connection")
}

// Guards against a body that holds its memory for ever although nothing more of it arrives.
func TestBodyThatStopsIsEnded(t *testing.T) {
	t.Parallel()
	r, counter := newBodyRig(t)
	r.run(t)
	c := r.dial()
	r.post(c, bodyLimit, bodyLimit-16)
	answer := r.answer(c)
	r.g.Expect(answer.StatusCode).To(Equal(http.StatusRequestTimeout))
	r.g.Expect(answer.Close).To(BeTrue())
	r.g.Expect(counter.count(serve.ShedTooSlow)()).To(Equal(1))
}

// Guards against bodies that stop and keep new ones out, and against a refusal that nobody sees.
func TestStalledBodiesGiveWayToNewOnes(t *testing.T) {
	t.Parallel()
	r, counter := newBodyRig(t)
	r.Bodies = budget.New(2 * bodyLimit)
	r.run(t)
	stalled := r.dial()
	r.post(stalled, bodyLimit, bodyLimit-16)
	time.Sleep(2 * budget.StallTime)
	c := r.dial()
	r.post(c, bodyLimit, bodyLimit)
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusOK))
	r.g.Expect(r.answer(stalled).StatusCode).To(Equal(http.StatusServiceUnavailable))
	r.g.Expect(counter.count(serve.ShedStalled)()).To(Equal(1))
}

// Guards against bodies that are read although there is no room for them, or read on after their refusal.
func TestBodyWithoutRoomIsRefusedBeforeItArrives(t *testing.T) {
	t.Parallel()
	r, counter := newBodyRig(t)
	r.Bodies = budget.New(bodyLimit)
	r.run(t)
	c := r.dial()
	r.post(c, bodyLimit, 0)
	answer := r.answer(c)
	r.g.Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
	r.g.Expect(answer.Close).To(BeTrue())
	r.g.Expect(counter.count(serve.ShedNoMemory)()).To(Equal(1))
	_, err := c.Read(make([]byte, 1))
	r.g.Expect(err).To(HaveOccurred(), "the connection is closed")
}

// Guards against a chunked body that exceeds the limit of one body.
func TestChunkedBodyAboveTheLimitIsRefused(t *testing.T) {
	t.Parallel()
	r, counter := newBodyRig(t)
	r.run(t)
	c := r.dial()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		bodyLimit+1, strings.Repeat("x", bodyLimit+1))
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	r.g.Expect(counter.count(serve.ShedTooLarge)()).To(Equal(1))
}

// Guards against connections without a whole request, or without any, that keep callers out, and against a request that is being served
// and is cut for a new connection.
func TestConnectionsWithoutARequestGiveWay(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			began <- struct{}{}
			<-release
		}
	})
	counter := &shedCounter{counts: map[serve.Shed]int{}}
	r.ObserveShed, r.MaxConns = counter.observe, 3
	r.run(t)
	serving := r.dial()
	_, err := io.WriteString(serving, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	r.g.Expect(err).NotTo(HaveOccurred())
	<-began
	incomplete := r.dial()
	defer incomplete.Close()           // The collector would close it earlier.
	r.post(incomplete, bodyLimit/2, 1) // Of a larger one, net/http closes the connection by itself.
	idle := r.dial()
	defer idle.Close()
	r.send(idle)
	r.answer(idle)
	time.Sleep(700 * time.Millisecond)
	for _, reason := range []serve.Shed{serve.ShedConnIncomplete, serve.ShedConnIdle} {
		c := r.dial()
		r.send(c)
		r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusOK))
		r.g.Eventually(counter.count(reason), "5s").Should(Equal(1), func() string { return fmt.Sprint(reason, " of ", counter.counts) })
	}
	close(release)
	r.g.Expect(r.answer(serving).StatusCode).To(Equal(http.StatusOK))
}
