package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	rawDialTimeout   = time.Second
	rawAnswerTimeout = 6 * time.Second        // longer than any answer takes, with a deadline of callTimeout
	rawSmallPause    = 2 * time.Millisecond   // between two requests of a caller
	rawIdlePause     = 300 * time.Millisecond // longest one of a pausing caller
	rawSplitPause    = 100 * time.Millisecond
	rawLongPause     = 6 * time.Second       // longest one of an idle caller; it exceeds the drain of an instance
	closeSpread      = 60 * time.Millisecond // of the requests that are sent about the close of a listener
	stopPollInterval = 10 * time.Millisecond
	recentJobs       = 32
	// promptCut separates ends of connections that were due to a stop's last step from those of requests that waited.
	promptCut = 200 * time.Millisecond
)

// connUse is how a raw caller uses its connections.
type connUse int

const (
	useFresh   connUse = iota // a connection for each request
	useKept                   // one connection until an answer closes it
	usePausing                // as useKept, with pauses of up to rawIdlePause
	useIdle                   // as useKept, with pauses of up to rawLongPause
	useSplit                  // as useKept, with a pause of up to rawSplitPause within each request
	useAtClose                // as useKept, idle during a stop until about the moment at which the last one closed the listener
)

// rawMix is the number of callers of each instance by use.
func rawMix() map[connUse]int {
	return map[connUse]int{useFresh: 6, useKept: 6, usePausing: 6, useIdle: 6, useSplit: 6, useAtClose: 16}
}

// cut is a request that was written in full and whose connection ended without a whole answer.
type cut struct {
	node, method, path string
	kept               bool // the connection had carried an answer before
	age                time.Duration
	sinceStop          time.Duration // from the instance's last SIGTERM
	err                error
}

func (c cut) String() string {
	return fmt.Sprintf("%s %s %s: kept=%t, %v after the request, %v after SIGTERM: %v", c.node, c.method, c.path, c.kept,
		c.age.Round(100*time.Microsecond), c.sinceStop.Round(time.Millisecond), c.err)
}

// rawCallers send requests over connections of their own, without the retries of http.Client.
type rawCallers struct {
	nodes   []*node
	submits chan struct{} // one element for each submission that is due
	// submitted is called with the status of the answer to each submission; nil for none.
	submitted func(id string, status int)

	mu         sync.Mutex // guards the fields below
	stops      map[*node]time.Time
	closing    map[*node]bool // stopped, and no dial has failed since
	closeDelay time.Duration  // from SIGTERM to the first dial that failed, in the latest stop
	jobs       []string       // accepted ones, the latest recentJobs
	answers    map[string]int
	longest    time.Duration // that an answer took
	cuts       []cut
	closes     int // stops in which a dial failed
	unsent     int // dials that failed and writes that failed
	closedIdle int // kept connections whose end was seen before a request was written
}

func newRawCallers(nodes []*node) *rawCallers {
	return &rawCallers{nodes: nodes, submits: make(chan struct{}), stops: map[*node]time.Time{}, closing: map[*node]bool{}, answers: map[string]int{}}
}

// stop sends SIGTERM to an instance and records the time.
func (r *rawCallers) stop(n *node) {
	r.recordStop(n)
	n.signal(syscall.SIGTERM)
}

func (r *rawCallers) recordStop(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops[n], r.closing[n] = time.Now(), true
}

// run sends requests from the callers of mix to each instance until ctx ends.
func (r *rawCallers) run(ctx context.Context, mix map[connUse]int, rate float64, seed uint64) {
	var group sync.WaitGroup
	for i, n := range r.nodes {
		for use, count := range mix {
			for k := range count {
				random := rand.New(rand.NewPCG(seed, uint64(i<<16+int(use)<<8+k)))
				group.Go(func() { r.callRepeatedly(ctx, n, use, random) })
			}
		}
	}
	group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			select {
			case r.submits <- struct{}{}:
			case <-ctx.Done():
			}
		}
	})
	group.Wait()
}

// rawConn is a connection of a caller.
type rawConn struct {
	net.Conn
	reader  *bufio.Reader
	answers int
}

func (r *rawCallers) callRepeatedly(ctx context.Context, n *node, use connUse, random *rand.Rand) {
	var conn *rawConn
	for ctx.Err() == nil {
		conn = r.callOnce(ctx, n, conn, use, random)
		if use == useFresh && conn != nil {
			closeAll(conn)
			conn = nil
		}
		pause := pauseOf(use, random)
		if use == useAtClose && conn != nil {
			pause = r.untilClose(ctx, n) + time.Duration((random.Float64()-0.5)*float64(closeSpread))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	if conn != nil {
		closeAll(conn)
	}
}

// untilClose waits for the next stop of an instance and returns the time until its listener closes, as in the latest stop.
func (r *rawCallers) untilClose(ctx context.Context, n *node) time.Duration {
	for ctx.Err() == nil {
		r.mu.Lock()
		closing, left := r.closing[n], time.Until(r.stops[n].Add(r.closeDelay))
		r.mu.Unlock()
		if closing && left > 0 {
			return left
		}
		time.Sleep(stopPollInterval)
	}
	return 0
}

// recordRefusal counts a request that was not sent, and records the end of the listener in a stop.
func (r *rawCallers) recordRefusal(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
	if r.closing[n] {
		r.closing[n], r.closeDelay = false, time.Since(r.stops[n])
		r.closes++
	}
}

func pauseOf(use connUse, random *rand.Rand) time.Duration {
	switch use {
	case usePausing:
		return time.Duration(random.Int64N(int64(rawIdlePause)))
	case useIdle:
		return time.Duration(random.Int64N(int64(rawLongPause)))
	case useFresh:
		return 2 * rawSmallPause
	}
	return rawSmallPause
}

// callOnce sends one request and returns the connection if it can carry another.
func (r *rawCallers) callOnce(ctx context.Context, n *node, conn *rawConn, use connUse, random *rand.Rand) *rawConn {
	method, id, body := r.nextRequest(random)
	request := formatRequest(method, id, body)
	if conn != nil && conn.ended() {
		closeAll(conn)
		conn = nil
		r.count(&r.closedIdle)
	}
	if conn == nil {
		var err error
		if conn, err = dialRaw(ctx, n.frontAddress); err != nil {
			r.recordRefusal(n)
			return nil
		}
	}
	if use == useSplit {
		half := len(request) / 2
		_, err := conn.Write(request[:half])
		time.Sleep(time.Duration(random.Int64N(int64(rawSplitPause))))
		if request = request[half:]; err != nil || conn.ended() {
			r.count(&r.unsent)
			closeAll(conn)
			return nil
		}
	}
	return r.exchange(n, conn, method, id, request)
}

// exchange sends a request over a connection and returns the connection if it can carry another.
func (r *rawCallers) exchange(n *node, conn *rawConn, method, id string, request []byte) *rawConn {
	if _, err := conn.Write(request); err != nil {
		r.count(&r.unsent)
		closeAll(conn)
		return nil
	}
	written := time.Now()
	status, _, closing, err := conn.readAnswer(written.Add(rawAnswerTimeout), method)
	took := time.Since(written)
	if err != nil {
		r.recordCut(n, cut{node: n.name, method: method, path: id, kept: conn.answers > 0, age: took, err: err})
	} else {
		r.recordAnswer(method, id, status, took)
	}
	if err != nil || closing {
		closeAll(conn)
		return nil
	}
	conn.answers++
	return conn
}

func formatRequest(method, id, body string) []byte {
	return fmt.Appendf(nil, "%s %s%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, fakepl.QueuePrefix, id, fakepl.Host, fakepl.APIKey, callTimeout.Milliseconds(), len(body), body)
}

func dialRaw(ctx context.Context, address string) (*rawConn, error) {
	dialer := net.Dialer{Timeout: rawDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	// A reset after the answer leaves no port in TIME_WAIT.
	_ = conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // The network is tcp.
	return &rawConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ended reports whether the other side has closed the connection, without waiting.
func (c *rawConn) ended() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn() //nolint:forcetypeassert // The network is tcp.
	if err != nil {
		return true
	}
	ended := true
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ended || err != nil
}

// readAnswer reads a whole answer, and reports whether the connection ends with it.
func (c *rawConn) readAnswer(deadline time.Time, method string) (status int, content []byte, closing bool, err error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, nil, false, err
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, nil, false, err
	}
	defer closeAll(answer.Body)
	content, err = io.ReadAll(answer.Body)
	return answer.StatusCode, content, answer.Close, err
}

// nextRequest returns a submission if one is due, and otherwise a query.
func (r *rawCallers) nextRequest(random *rand.Rand) (method, id, body string) {
	fresh := fmt.Sprintf("%016x", random.Uint64())
	select {
	case <-r.submits:
		return http.MethodPost, fresh, string(fakepl.Job(1, 1, false, jobEstimateMs))
	default:
	}
	draw := random.IntN(10)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case draw < 2:
		return http.MethodGet, "", ""
	case draw < 4 && len(r.jobs) > 0:
		return http.MethodGet, r.jobs[random.IntN(len(r.jobs))], ""
	}
	return http.MethodGet, fresh, ""
}

func (r *rawCallers) recordAnswer(method, id string, status int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, took)
	r.answers[fmt.Sprintf("%s %d", method, status)]++
	if method == http.MethodPost && r.submitted != nil {
		r.submitted(id, status)
	}
	if method != http.MethodPost || status != http.StatusOK {
		return
	}
	r.jobs = append(r.jobs, id)
	r.jobs = r.jobs[max(0, len(r.jobs)-recentJobs):]
}

func (r *rawCallers) recordCut(n *node, c cut) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.sinceStop = time.Since(r.stops[n])
	r.cuts = append(r.cuts, c)
}

func (r *rawCallers) count(field *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*field++
}

// cutCounts are numbers of cut requests, by the age of the request at the end of its connection.
type cutCounts struct{ prompt, late int }

// countCuts returns the numbers on new and on kept connections.
func (r *rawCallers) countCuts() (fresh, kept cutCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		counts := &fresh
		if c.kept {
			counts = &kept
		}
		if c.age < promptCut {
			counts.prompt++
		} else {
			counts.late++
		}
	}
	return fresh, kept
}

// summary returns all counts and the first cuts.
func (r *rawCallers) summary() string {
	fresh, kept := r.countCuts()
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := []string{fmt.Sprintf("answers %v, the slowest after %v; %d dials or writes failed, %d kept connections closed between requests", r.answers, r.longest.Round(time.Millisecond), r.unsent, r.closedIdle)}
	lines = append(lines, fmt.Sprintf("cut on new connections: %d within %v, %d later; on kept connections: %d and %d",
		fresh.prompt, promptCut, fresh.late, kept.prompt, kept.late))
	for _, c := range r.cuts[:min(len(r.cuts), 40)] {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}
