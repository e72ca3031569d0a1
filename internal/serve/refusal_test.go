package serve_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/serve"
)

// pausingCloser is a listener whose connections pause between the end of their last read and their close.
type pausingCloser struct {
	*watchedListener
	pausing chan struct{} // gets an element for each connection that pauses
	release chan struct{} // closed to let them close
}

func newPausingCloser(r *rig, conns int) pausingCloser {
	return pausingCloser{watchedListener: r.accepts, pausing: make(chan struct{}, conns), release: make(chan struct{})}
}

func (l pausingCloser) Accept() (net.Conn, error) {
	c, err := l.watchedListener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingCloserConn{Conn: c, listener: l}, nil
}

type pausingCloserConn struct {
	net.Conn
	listener   pausingCloser
	unanswered int // requests read; only one goroutine reads at a time
}

func (c *pausingCloserConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n > 0:
		c.unanswered++
	case !errors.Is(err, os.ErrDeadlineExceeded):
	case c.unanswered > 0:
		c.unanswered-- // net/http reads while a request is handled, and ends that read after its answer.
	default:
		c.listener.pausing <- struct{}{}
		<-c.listener.release
	}
	return n, err
}

// Guards against a request without an answer that arrives between the last look at an idle connection and its close.
func TestDrainAnswersARequestThatArrivesDuringTheClose(t *testing.T) {
	r := newRig(t, answerOK)
	closer := newPausingCloser(r, 2)
	r.Listener = closer
	r.Refuse = func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r.run(t)
	used, unused := r.dial(), r.dial()
	r.send(used)
	r.answer(used)
	drained := make(chan error, 1)
	go func() { drained <- r.drain(5 * time.Second) }()
	for range 2 {
		r.g.Eventually(closer.pausing, 10*time.Second).Should(Receive())
	}
	for _, c := range []net.Conn{used, unused} {
		r.send(c)
	}
	close(closer.release)
	r.g.Expect(<-drained).To(Succeed())
	for _, c := range []net.Conn{used, unused} {
		refusal := r.answer(c)
		r.g.Expect(refusal.StatusCode).To(Equal(http.StatusServiceUnavailable))
		r.g.Expect(refusal.Header.Get("Retry-After")).To(Equal("1"))
		r.g.Expect(refusal.Close).To(BeTrue())
	}
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(2))
	r.g.Expect(r.countEnds(serve.EndCut)).To(BeZero())
}

// Guards against a drain that refuses on one connection after the other when its time is over.
func TestDrainWithoutTimeLeftDoesNotWaitForRefusedCallers(t *testing.T) {
	const conns = 20
	r := newRig(t, answerOK)
	closer := newPausingCloser(r, conns)
	defer close(closer.release)
	r.Listener = closer
	r.Linger = 50 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	var callers []net.Conn
	for range conns {
		callers = append(callers, r.dial())
	}
	began := time.Now()
	r.g.Expect(r.drain(time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	for _, c := range callers {
		r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(conns))
}

// busyListener is a listener whose connections lose the processor for a moment after their first deadline for reads and writes was set.
type busyListener struct{ pausingCloser }

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.pausingCloser.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{Conn: c}, nil
}

type busyConn struct {
	net.Conn
	delayed bool
}

func (c *busyConn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	if !c.delayed {
		c.delayed = true
		time.Sleep(time.Until(t) + time.Millisecond)
	}
	return err
}

// Guards against a refusal at the end of a drain that is not written because the processor was busy for longer than the write may take.
func TestDrainRefusesOnABusyProcessor(t *testing.T) {
	r := newRig(t, answerOK)
	closer := newPausingCloser(r, 1)
	defer close(closer.release)
	r.Listener = busyListener{closer}
	r.Linger = 50 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	c := r.dial()
	r.g.Expect(r.drain(time.Second)).To(Succeed())
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// Guards against a drain that takes longer because a caller does not read the refusal, or never stops sending.
func TestDrainDoesNotWaitForRefusedCallers(t *testing.T) {
	r := newRig(t, answerOK)
	r.Linger = 50 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	r.dial()
	talking := r.dial()
	r.send(talking)
	r.answer(talking)
	began := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- r.drain(5 * time.Second) }()
	var talker sync.WaitGroup
	talker.Go(func() {
		for time.Since(began) < 4*time.Second {
			if _, err := io.WriteString(talking, requestText); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	r.g.Expect(<-drained).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	talker.Wait()
}

// Guards against a drain whose time is shorter than Linger, and which refuses on unused connections only when its time is over.
func TestDrainRefusesWithinItsTime(t *testing.T) {
	const drainTime = 2 * time.Second
	r := newRig(t, answerOK)
	r.Linger = time.Minute
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	conns := []net.Conn{r.dial(), r.dial(), r.dial()}
	began := time.Now()
	drained := make(chan error, 1)
	go func() { drained <- r.drain(drainTime) }()
	for _, c := range conns {
		r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	r.g.Expect(time.Since(began)).To(BeNumerically("<", drainTime))
	r.g.Expect(<-drained).To(Succeed())
}

// Guards against a second answer to a caller that sends the end of its stream behind a request, and can send no further one.
func TestDrainDoesNotRefuseBehindTheEndOfTheStream(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(http.ResponseWriter, *http.Request) {
		close(began)
		<-release
	})
	r.Linger = 20 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	c := r.dial()
	r.send(c)
	<-began
	halfCloser, ok := c.(*net.TCPConn)
	r.g.Expect(ok).To(BeTrue())
	r.g.Expect(halfCloser.CloseWrite()).To(Succeed())
	time.Sleep(50 * time.Millisecond) // The server has read it.
	drained := make(chan error, 1)
	go func() { drained <- r.drain(5 * time.Second) }()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	answers := bufio.NewReader(c)
	res, err := http.ReadResponse(answers, nil)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(res.StatusCode).To(Equal(http.StatusOK))
	rest, err := io.ReadAll(answers)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(string(rest)).To(BeEmpty())
	r.g.Expect(<-drained).To(Succeed())
}

// Guards against a refused connection that the next step of the drain closes at once, so that the refusal may be lost with a reset.
func TestDrainLeavesRefusedConnectionsOpen(t *testing.T) {
	const refusalTime = 250 * time.Millisecond // of a caller that does not close its connection
	r := newRig(t, answerOK)
	r.Linger = 20 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	r.run(t)
	c := r.dial()
	defer c.Close() // It stays open until then.
	r.send(c)
	r.answer(c)
	began := time.Now()
	r.g.Expect(r.drain(5 * time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically(">=", refusalTime))
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(1))
}

// writeCounter is a listener that counts the writes to its connections.
type writeCounter struct {
	*watchedListener
	writes *atomic.Int32
}

func (l writeCounter) Accept() (net.Conn, error) {
	c, err := l.watchedListener.Accept()
	return countedConn{c, l.writes}, err
}

type countedConn struct {
	net.Conn
	writes *atomic.Int32
}

func (c countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Guards against a refusal in several packets, the first of which makes a caller close its idle connection.
func TestDrainWritesARefusalInOnePiece(t *testing.T) {
	r := newRig(t, answerOK)
	var writes atomic.Int32
	r.Listener = writeCounter{r.accepts, &writes}
	r.Linger = 20 * time.Millisecond
	r.Refuse = func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "the instance stops") //nolint:errcheck // It is kept in memory.
	}
	r.run(t)
	c := r.dial()
	r.g.Expect(r.drain(5 * time.Second)).To(Succeed())
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusServiceUnavailable))
	r.g.Expect(int(writes.Load())).To(Equal(1))
}
