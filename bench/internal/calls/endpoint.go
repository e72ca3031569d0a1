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

// Sizes of the deployment.
const (
	endpoints = 50
	slots     = 8
	instances = 9
	// oneWay is the latency between an instance and an endpoint.
	oneWay = 500 * time.Microsecond
	// slowTimes is how much longer runs on a slow endpoint take.
	slowTimes = 5
)

// fault tells how all endpoints fail.
type fault string

const (
	// faultError runs each request and answers 500.
	faultError fault = "status 500"
	// faultCut breaks the connection without an answer.
	faultCut fault = "connection cut"
)

// endpoint serves up to its slots and refuses above them.
type endpoint struct {
	times float64

	mu   sync.Mutex
	busy int
}

// platform is all endpoints.
type platform struct {
	endpoints map[string]*endpoint
	fault     fault

	mu     sync.Mutex
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
		e := &endpoint{times: 1}
		if slow && i == 0 {
			e.times = slowTimes
		}
		p.endpoints[address(i)] = e
	}
	return p
}

func address(i int) string { return fmt.Sprintf("endpoint-%02d", i) }

// serviceTime draws a log-normal time with the mean of the class.
func (p *platform) serviceTime(class model.RequestClassID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends++
	const sigma = 0.5
	mean := float64(means()[class])
	return time.Duration(mean * math.Exp(p.random.NormFloat64()*sigma-sigma*sigma/2))
}

var errCut = errors.New("connection broke without an answer")

// do answers a send or a probe as an endpoint does.
func (p *platform) do(req *http.Request) (*http.Response, error) {
	e := p.endpoints[req.URL.Host]
	header := http.Header{}
	if req.URL.Path == "/v1/health" {
		e.load(header)
		return answer(http.StatusOK, header, nil), nil
	}
	takes := time.Duration(float64(p.serviceTime(model.RequestClassID(strings.TrimPrefix(req.URL.Path, "/v1/run/")))) * e.times)
	if err := clock.Sleep(req.Context(), oneWay); err != nil {
		return nil, err
	}
	header.Set(reply.HeaderRequestID, req.Header.Get(reply.HeaderRequestID))
	header.Set(reply.HeaderAttempt, req.Header.Get(reply.HeaderAttempt))
	if !e.begin() {
		p.mu.Lock()
		p.full++
		p.mu.Unlock()
		e.load(header)
		header.Set(reply.HeaderNotRun, "true")
		return answer(http.StatusServiceUnavailable, header, nil), clock.Sleep(req.Context(), oneWay)
	}
	err := clock.Sleep(req.Context(), takes)
	e.end()
	if err != nil {
		return nil, err
	}
	e.load(header)
	switch p.fault {
	case faultError:
		return answer(http.StatusInternalServerError, header, nil), clock.Sleep(req.Context(), oneWay)
	case faultCut:
		return nil, errCut
	}
	body := []byte("answer")
	header.Set(reply.HeaderDigest, fmt.Sprintf("%016x", xxhash.Sum64(body)))
	return answer(http.StatusOK, header, body), clock.Sleep(req.Context(), oneWay)
}

func (e *endpoint) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= slots {
		return false
	}
	e.busy++
	return true
}

func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

func (e *endpoint) load(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	header.Set(reply.HeaderSlots, strconv.Itoa(slots))
	header.Set(reply.HeaderBusy, strconv.Itoa(e.busy))
}

func answer(status int, header http.Header, body []byte) *http.Response {
	return &http.Response{
		StatusCode: status, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
}
