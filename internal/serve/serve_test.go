package serve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/serve"
)

const requestText = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// rig is a server on loopback with the ends of its connections.
type rig struct {
	*serve.Server
	g       Gomega
	stopRun context.CancelFunc
	ended   chan error

	mu   sync.Mutex
	ends map[serve.End]int
}

func newRig(t *testing.T, handler http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{g: NewWithT(t), ended: make(chan error, 1), ends: map[serve.End]int{}}
	listener, err := serve.Listen(t.Context(), "127.0.0.1:0")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.Server = &serve.Server{
		Name: "test", Listener: listener, HTTP: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, Log: zerolog.Nop(),
		Linger: 200 * time.Millisecond, Observe: r.observe,
	}
	return r
}

func (r *rig) observe(end serve.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[end]++
}

func (r *rig) countEnds(end serve.End) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[end]
}

// run starts the server; it ends with the test.
func (r *rig) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r.stopRun = cancel
	go func() { r.ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
}

func (r *rig) dial() net.Conn {
	c, err := net.Dial("tcp", r.Listener.Addr().String())
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return c
}

func (r *rig) send(c net.Conn) {
	_, err := io.WriteString(c, requestText)
	r.g.Expect(err).NotTo(HaveOccurred())
}

// answer reads a whole answer.
func (r *rig) answer(c net.Conn) *http.Response {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.g.Expect(err).NotTo(HaveOccurred(), "a request that has arrived is answered")
	_, err = io.Copy(io.Discard, res.Body)
	r.g.Expect(err).NotTo(HaveOccurred())
	return res
}

func (r *rig) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return r.Drain(ctx)
}

func answerOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Guards against requests without an answer on connections that the kernel holds when the listener closes.
func TestDrainAnswersTheBacklog(t *testing.T) {
	r := newRig(t, answerOK)
	var conns []net.Conn
	for range 50 {
		c := r.dial()
		r.send(c)
		conns = append(conns, c)
	}
	r.g.Expect(r.drain(time.Second)).To(Succeed())
	r.run(t)
	for _, c := range conns {
		r.g.Expect(r.answer(c).Close).To(BeTrue())
	}
	_, err := net.Dial("tcp", r.Listener.Addr().String())
	r.g.Expect(err).To(HaveOccurred())
}

// Guards against the graceful shutdown of net/http, which closes a connection right after it has read a request from it.
func TestDrainAnswersTheFirstRequestOfAConnection(t *testing.T) {
	r := newRig(t, answerOK)
	r.Linger = time.Minute
	r.run(t)
	waiting := r.dial()
	used := r.dial()
	r.send(used)
	r.answer(used)
	drained := make(chan error, 1)
	go func() { drained <- r.drain(time.Minute) }()
	time.Sleep(100 * time.Millisecond) // The listener is closed, and the connections are not.
	for _, c := range []net.Conn{waiting, used} {
		r.send(c)
		r.g.Expect(r.answer(c).Close).To(BeTrue())
	}
	r.g.Expect(<-drained).To(Succeed())
	r.g.Expect(r.countEnds(serve.EndAnswered)).To(Equal(2))
}

// Guards against a drain that waits for callers who keep a connection open without a request.
func TestDrainClosesUnusedConnections(t *testing.T) {
	r := newRig(t, answerOK)
	r.run(t)
	used := r.dial()
	r.send(used)
	r.answer(used)
	r.dial()
	began := time.Now()
	r.g.Expect(r.drain(5 * time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	_, err := used.Read(make([]byte, 1))
	r.g.Expect(err).To(MatchError(io.EOF))
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(2))
}

// Guards against requests that are cut because they wait for something when the time of the drain ends.
func TestDrainEndsTheContextsOfWaitingRequests(t *testing.T) {
	cause := make(chan error, 1)
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		<-req.Context().Done()
		cause <- context.Cause(req.Context())
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.run(t)
	c := r.dial()
	r.send(c)
	time.Sleep(50 * time.Millisecond)
	r.g.Expect(r.drain(time.Second)).To(Succeed())
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusServiceUnavailable))
	var stopping *serve.StoppingError
	r.g.Expect(errors.As(<-cause, &stopping)).To(BeTrue())
}

// Guards against a drain that hides the requests that it could not answer.
func TestDrainReportsWhatItCuts(t *testing.T) {
	release := make(chan struct{})
	r := newRig(t, func(http.ResponseWriter, *http.Request) { <-release })
	r.run(t)
	defer close(release)
	c := r.dial()
	r.send(c)
	time.Sleep(50 * time.Millisecond)
	var cut *serve.CutError
	r.g.Expect(errors.As(r.drain(400*time.Millisecond), &cut)).To(BeTrue())
	r.g.Expect(cut.Conns).To(Equal(1))
	r.g.Expect(r.countEnds(serve.EndCut)).To(Equal(1))
}

// Guards against requests that are lost between the last look at an idle connection and its end, under callers that keep asking.
func TestDrainUnderLoad(t *testing.T) {
	for range 20 {
		r := newRig(t, answerOK)
		r.run(t)
		var callers sync.WaitGroup
		var mu sync.Mutex
		answered, unanswered := 0, 0
		for range 16 {
			callers.Go(func() {
				for askOnce(r.Listener.Addr().String(), func(ok bool) {
					mu.Lock()
					defer mu.Unlock()
					if ok {
						answered++
					} else {
						unanswered++
					}
				}) {
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		r.g.Expect(r.drain(5 * time.Second)).To(Succeed())
		callers.Wait()
		r.g.Expect(answered).To(BeNumerically(">", 0))
		r.g.Expect(unanswered).To(Equal(0), "of %d requests", answered+unanswered)
	}
}

// askOnce sends a request on a new connection and records whether it was answered. It returns false once no connection is accepted.
func askOnce(address string, record func(answered bool)) bool {
	c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := io.WriteString(c, requestText); err != nil {
		return false
	}
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	record(err == nil)
	return true
}
