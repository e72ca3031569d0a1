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
	accepts *watchedListener

	mu   sync.Mutex
	ends map[serve.End]int
}

// watchedListener reports its first Accept and its Close. Like all listeners of these tests it keeps the methods of net.TCPListener, with
// which a drain accepts the connections that wait.
type watchedListener struct {
	*net.TCPListener
	accepting, closed         chan struct{} // closed when it happens
	acceptingOnce, closedOnce sync.Once
}

func (l *watchedListener) Accept() (net.Conn, error) {
	l.acceptingOnce.Do(func() { close(l.accepting) })
	return l.TCPListener.Accept()
}

func (l *watchedListener) Close() error {
	err := l.TCPListener.Close()
	l.closedOnce.Do(func() { close(l.closed) })
	return err
}

func newRig(t *testing.T, handler http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{g: NewWithT(t), ended: make(chan error, 1), ends: map[serve.End]int{}}
	listener, err := serve.Listen(t.Context(), "127.0.0.1:0")
	r.g.Expect(err).NotTo(HaveOccurred())
	tcp, ok := listener.(*net.TCPListener)
	r.g.Expect(ok).To(BeTrue())
	r.accepts = &watchedListener{TCPListener: tcp, accepting: make(chan struct{}), closed: make(chan struct{})}
	r.Server = &serve.Server{
		Name: "test", Listener: r.accepts, HTTP: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, Log: zerolog.Nop(),
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

// run starts the server and waits until it accepts connections; a drain before that ends without waiting for any. It ends with the test.
func (r *rig) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r.stopRun = cancel
	go func() { r.ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-r.ended
	})
	r.await(r.accepts.accepting)
}

// await waits for an event of the set-up.
func (r *rig) await(event <-chan struct{}) {
	r.g.Eventually(event, 10*time.Second).Should(BeClosed())
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

// Guards against requests that are reset because their instance is stopped while it starts: its servers drain before they run.
func TestDrainThatOvertakesRunAnswersTheBacklog(t *testing.T) {
	r := newRig(t, answerOK)
	c := r.dial()
	r.send(c)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	drained := make(chan error, 1)
	go func() {
		drained <- r.drain(10 * time.Second)
		cancel() // As the daemons do once their servers are drained.
	}()
	select {
	case err := <-drained:
		r.g.Expect(err).NotTo(HaveOccurred())
	case <-time.After(50 * time.Millisecond): // It waits for Run.
	}
	r.g.Expect(r.Run(ctx)).To(Succeed())
	r.g.Expect(r.answer(c).Close).To(BeTrue())
}

// Guards against the graceful shutdown of net/http, which closes a connection right after it has read a request from it.
func TestDrainAnswersTheFirstRequestOfAConnection(t *testing.T) {
	r := newRig(t, answerOK)
	r.Linger, r.KeepIdle = time.Minute, true
	r.run(t)
	waiting := r.dial()
	used := r.dial()
	r.send(used)
	r.answer(used)
	drained := make(chan error, 1)
	go func() { drained <- r.drain(time.Minute) }()
	r.await(r.accepts.closed) // The connections are not closed.
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

// Guards against a port that is closed for longer than it takes to end connections which only wait for a further request.
func TestDrainDoesNotWaitForIdleConnections(t *testing.T) {
	r := newRig(t, answerOK)
	r.Linger = time.Minute
	r.run(t)
	c := r.dial()
	for range 2 { // The second answer shows that the server has seen the end of the first request.
		r.send(c)
		r.answer(c)
	}
	began := time.Now()
	r.g.Expect(r.drain(20 * time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), "a drain that waits for the connection takes its whole time")
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(1))
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

// Guards against a request that is lost because its connection is closed after an answer without a look at what has arrived meanwhile, and
// against a deadline in the past for the rest of that request.
func TestDrainAnswersARequestThatArrivedBehindAnother(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			close(handling)
			<-release
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || string(body) != "body" {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	r.Linger = 50 * time.Millisecond
	r.run(t)
	c := r.dial()
	r.send(c)
	r.await(handling)
	drained := make(chan error, 1)
	go func() { drained <- r.drain(5 * time.Second) }()
	time.Sleep(200 * time.Millisecond) // Unused connections are closed by now.
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHo")
	r.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	close(release)
	answers := bufio.NewReader(c)
	first, err := http.ReadResponse(answers, nil)
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(first.Close).To(BeFalse(), "it began before the drain")
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, "st: a\r\nContent-Length: 4\r\n\r\nbody")
	r.g.Expect(err).NotTo(HaveOccurred())
	second, err := http.ReadResponse(answers, nil)
	r.g.Expect(err).NotTo(HaveOccurred(), "a request that has arrived is answered")
	r.g.Expect(second.StatusCode).To(Equal(http.StatusOK))
	r.g.Expect(second.Close).To(BeTrue())
	r.g.Expect(<-drained).To(Succeed())
}

// slowReader is a listener whose connections return what they have read after a delay.
type slowReader struct {
	*watchedListener
	delay time.Duration
}

func (l slowReader) Accept() (net.Conn, error) {
	c, err := l.watchedListener.Accept()
	return slowReaderConn{c, l.delay}, err
}

type slowReaderConn struct {
	net.Conn
	delay time.Duration
}

func (c slowReaderConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Guards against a request that is cut by the deadline that ends unused connections, since its first bytes are just being read.
func TestDrainAnswersARequestWhoseFirstBytesAreBeingRead(t *testing.T) {
	r := newRig(t, answerOK)
	r.Linger = 50 * time.Millisecond
	r.Listener = slowReader{watchedListener: r.accepts, delay: 300 * time.Millisecond}
	r.run(t)
	c := r.dial()
	_, err := io.WriteString(c, requestText[:5])
	r.g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- r.drain(5 * time.Second) }()
	time.Sleep(500 * time.Millisecond)
	_, err = io.WriteString(c, requestText[5:])
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(r.answer(c).StatusCode).To(Equal(http.StatusOK))
	r.g.Expect(<-drained).To(Succeed())
}

// Guards against a drain that waits for its whole time for a connection whose last answer did not close it.
func TestDrainClosesAConnectionBehindItsLastAnswer(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(http.ResponseWriter, *http.Request) {
		close(handling)
		<-release
	})
	r.Linger = 50 * time.Millisecond
	r.run(t)
	c := r.dial()
	r.send(c)
	r.await(handling)
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	began := time.Now()
	r.g.Expect(r.drain(5 * time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	r.g.Expect(r.answer(c).Close).To(BeFalse(), "it began before the drain")
	r.g.Expect(r.countEnds(serve.EndIdle)).To(Equal(1))
}

// Guards against a drain that hides the requests that it could not answer.
func TestDrainReportsWhatItCuts(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(http.ResponseWriter, *http.Request) {
		close(handling)
		<-release
	})
	r.run(t)
	defer close(release)
	c := r.dial()
	r.send(c)
	r.await(handling)
	var cut *serve.CutError
	r.g.Expect(errors.As(r.drain(400*time.Millisecond), &cut)).To(BeTrue())
	r.g.Expect(cut.Conns).To(Equal(1))
	r.g.Expect(r.countEnds(serve.EndCut)).To(Equal(1))
}

// observedListener is a listener that calls a function before it closes, and tells when a connection begins to be read.
type observedListener struct {
	net.Listener
	beforeClose func()
	reading     chan struct{}
}

func (l observedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return observedConn{c, l.reading}, err
}

func (l observedListener) Close() error {
	l.beforeClose()
	return l.Listener.Close()
}

type observedConn struct {
	net.Conn
	reading chan struct{}
}

func (c observedConn) Read(p []byte) (int, error) {
	select {
	case c.reading <- struct{}{}:
	default:
	}
	return c.Conn.Read(p)
}

// Guards against a request that is cut without a report, because it is read while the server closes its connections.
func TestServerReportsARequestThatItReadsWhileItCloses(t *testing.T) {
	r := newRig(t, answerOK)
	c := r.dial()
	reading := make(chan struct{}, 1)
	r.Listener = observedListener{Listener: r.Listener, reading: reading, beforeClose: func() {
		r.send(c)
		_, err := http.ReadResponse(bufio.NewReader(c), nil)
		r.g.Expect(err).To(HaveOccurred(), "the server is closing")
	}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { r.ended <- r.Run(ctx) }()
	<-reading
	cancel()
	var cut *serve.CutError
	r.g.Expect(errors.As(<-r.ended, &cut)).To(BeTrue())
	r.g.Expect(cut.Conns).To(Equal(1))
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
		r.g.Eventually(func() int {
			mu.Lock()
			defer mu.Unlock()
			return answered
		}, 10*time.Second).Should(BeNumerically(">", 0))
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
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	record(err == nil && res.StatusCode == http.StatusOK) // Part of a request is answered with 400.
	return true
}

// slowListener accepts more slowly than its callers connect.
type slowListener struct{ *watchedListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	return l.watchedListener.Accept()
}

// Guards against a drain whose whole time passes with new connections where the packet filter is not available, so that it cuts them all.
func TestDrainWithoutPacketFilterStopsAccepting(t *testing.T) {
	r := newRig(t, answerOK)
	r.g.Expect(r.Listener.Close()).To(Succeed())
	var config net.ListenConfig
	config.SetMultipathTCP(true) // Its sockets take no packet filter.
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	r.g.Expect(err).NotTo(HaveOccurred())
	tcp, ok := listener.(*net.TCPListener)
	r.g.Expect(ok).To(BeTrue())
	r.accepts.TCPListener = tcp
	r.Listener = slowListener{r.accepts}
	r.run(t)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for askOnce(tcp.Addr().String(), func(bool) {}) {
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	r.g.Expect(r.drain(3 * time.Second)).To(Succeed())
	r.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	callers.Wait()
}
