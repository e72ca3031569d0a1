package calls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Sizes and latencies of the simulated deployment.
const (
	endpoints = 50
	slots     = 8
	instances = 9
	// oneWayLatency is the latency from an instance to an endpoint, or back.
	oneWayLatency = 500 * time.Microsecond
	// slowFactor multiplies the service times of a slow endpoint.
	slowFactor = 5
)

// fault is the way in which all endpoints fail; "" means that none fails.
type fault string

const (
	// faultError runs each request and answers with status 500.
	faultError fault = "status 500"
	// faultCut runs each request and closes the connection without an answer.
	faultCut fault = "connection cut"
)

// endpoint runs up to slots requests at a time and refuses the others. It is safe for concurrent use.
type endpoint struct {
	// factor multiplies the service times.
	factor float64

	mu   sync.Mutex // mu guards busy.
	busy int
}

// platform simulates all endpoints. It is safe for concurrent use.
type platform struct {
	endpoints map[string]*endpoint
	fault     fault

	mu     sync.Mutex // mu guards the fields below.
	random *rand.Rand
	sends  int
	full   int
}

func newPlatform(seed uint64, slow bool, fault fault) *platform {
	p := &platform{
		endpoints: map[string]*endpoint{}, fault: fault,
		random: rand.New(rand.NewPCG(seed, 4)), //nolint:gosec // Service times are seeded, not secret.
	}
	for i := range endpoints {
		e := &endpoint{factor: 1}
		if slow && i == 0 {
			e.factor = slowFactor
		}
		p.endpoints[endpointAddress(i)] = e
	}
	return p
}

func endpointAddress(i int) string { return fmt.Sprintf("endpoint-%02d", i) }

// drawServiceTime counts a send and draws a log-normal service time with the mean of the class.
func (p *platform) drawServiceTime(class model.RequestClassID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends++
	const sigma = 0.5
	mean := float64(meanServiceTimes()[class])
	return time.Duration(mean * math.Exp(p.random.NormFloat64()*sigma-sigma*sigma/2))
}

var errCut = errors.New("connection closed without an answer")

// do answers a send or a health probe as an endpoint does.
func (p *platform) do(req *http.Request) (*http.Response, error) {
	e := p.endpoints[req.URL.Host]
	header := http.Header{}
	if req.URL.Path == "/v1/health" {
		e.setLoadHeaders(header)
		return newResponse(http.StatusOK, header, nil), nil
	}
	duration := time.Duration(float64(p.drawServiceTime(model.RequestClassID(strings.TrimPrefix(req.URL.Path, "/v1/run/")))) * e.factor)
	if err := clock.Sleep(req.Context(), oneWayLatency); err != nil {
		return nil, err
	}
	header.Set(reply.HeaderRequestID, req.Header.Get(reply.HeaderRequestID))
	header.Set(reply.HeaderAttempt, req.Header.Get(reply.HeaderAttempt))
	if !e.takeSlot() {
		p.mu.Lock()
		p.full++
		p.mu.Unlock()
		e.setLoadHeaders(header)
		header.Set(reply.HeaderNotRun, "true")
		return newResponse(http.StatusServiceUnavailable, header, nil), clock.Sleep(req.Context(), oneWayLatency)
	}
	err := clock.Sleep(req.Context(), duration)
	e.freeSlot()
	if err != nil {
		return nil, err
	}
	e.setLoadHeaders(header)
	switch p.fault {
	case faultError:
		return newResponse(http.StatusInternalServerError, header, nil), clock.Sleep(req.Context(), oneWayLatency)
	case faultCut:
		return nil, errCut
	}
	body := []byte("answer")
	header.Set(reply.HeaderDigest, fmt.Sprintf("%016x", xxhash.Sum64(body)))
	return newResponse(http.StatusOK, header, body), clock.Sleep(req.Context(), oneWayLatency)
}

func (e *endpoint) takeSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= slots {
		return false
	}
	e.busy++
	return true
}

func (e *endpoint) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

func (e *endpoint) setLoadHeaders(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header.Set(reply.HeaderSlots, strconv.Itoa(slots))
	header.Set(reply.HeaderBusy, strconv.Itoa(e.busy))
}

func newResponse(status int, header http.Header, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}
