package speed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// Sizes and limits of the measurement of the hop.
const (
	hopEndpoints = 10
	hopSlots     = 8
	hopCallers   = 32
	bodyBytes    = 1024
	callTimeout  = 5 * time.Second
)

// path is one way to an endpoint: directly, or through the instance. capacity is in calls per second.
type path struct {
	name     string
	url      func() string
	capacity float64
}

// series adds up the calls of one path at one rate over the turns; cpu is the processor time of the whole process.
type series struct {
	latency timing
	calls   int
	cpu     time.Duration
}

// perCall returns the processor time per call in microseconds.
func (s *series) perCall() float64 { return float64(s.cpu.Microseconds()) / float64(max(1, s.calls)) }

// MeasureHop measures the latency that one instance adds, compared with direct calls of the same endpoints in the same process.
func MeasureHop(ctx context.Context, quick bool) ([]*table.Table, error) {
	turns, turnTime := 6, 700*time.Millisecond
	if quick {
		turns, turnTime = 2, 300*time.Millisecond
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	var tables []*table.Table
	group.Go(func() error {
		defer cancel()
		h, err := newHop(ctx, group)
		if err != nil {
			return err
		}
		defer h.client.CloseIdleConnections()
		t, err := h.measure(ctx, turns, turnTime)
		tables = append(tables, t)
		return err
	})
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	return tables, nil
}

// hop has the HTTP client and the paths that it compares.
type hop struct {
	client *http.Client
	direct *path
	hop    *path
	sent   atomic.Uint64
}

// newHop starts the endpoints and the instance on loopback; they run in group until ctx ends.
func newHop(ctx context.Context, group *errgroup.Group) (*hop, error) {
	table := &route.Table{Self: "entry-1", DataCentre: "library", SkipProbe: true}
	requestQueue := &queue.Queue{Acquire: table.Acquire, Slots: table.Slots, UsableEndpoints: table.UsableEndpoints}
	table.OnSlotFree = requestQueue.StartQueued
	requestRelay := &relay.Relay{Table: table}
	set := model.NewSet()
	set.Customers["customer-1"] = model.Customer{}
	set.RequestClasses["scan"] = model.RequestClass{Priority: model.PriorityNormal, Idempotent: true, Timeout: model.Duration(callTimeout)}
	server := &front.Server{Instance: "entry-1", Current: func() *model.Set { return set }, Queue: requestQueue, Relay: requestRelay}
	var vms []vmlist.VM
	var addresses []string
	for i := range hopEndpoints {
		listener, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		group.Go(func() error { return serve(ctx, listener, fakeep.New(hopSlots)) })
		addresses = append(addresses, listener.Addr().String())
		vms = append(vms, vmlist.VM{
			Name: fmt.Sprintf("endpoint-%d", i), Kind: vmlist.KindEndpoint, Address: addresses[i], DataCentre: "library", Slots: hopSlots, State: vmlist.StateLive,
		})
	}
	table.Update(vms)
	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	server.Listener = listener
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return table.Run(ctx) })
	group.Go(func() error { return requestRelay.Run(ctx) })
	h := &hop{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: hopCallers, DisableCompression: true}, Timeout: callTimeout,
	}}
	h.direct = &path{name: "direct call", url: func() string {
		return "http://" + addresses[h.sent.Load()%hopEndpoints] + "/v1/run/scan"
	}}
	h.hop = &path{name: "through one instance", url: func() string {
		return "http://" + listener.Addr().String() + "/v1/requests/scan"
	}}
	return h, nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening on loopback: %w", err)
	}
	return listener, nil
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout}
	stop := context.AfterFunc(ctx, func() {
		if err := server.Close(); err != nil {
			return // The listener was closed already.
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving an endpoint: %w", err)
	}
	return nil
}

// lowRate is a load in calls per second at which calls rarely wait for each other.
const lowRate = 1000

// measure determines the capacity of each path, and then loads both in turn, at lowRate and at half of the capacity of the
// instance.
func (h *hop) measure(ctx context.Context, turns int, turnTime time.Duration) (*table.Table, error) {
	paths := []*path{h.direct, h.hop}
	for _, p := range paths {
		// The first turn opens the connections.
		for range 2 {
			s := &series{latency: newTiming()}
			if err := h.load(ctx, p, turnTime, 0, s); err != nil {
				return nil, err
			}
			p.capacity = float64(s.calls) / turnTime.Seconds()
		}
	}
	t := table.New("Speed: one hop over loopback, and half of what the instance carries here", "load", "path", "most calls per s",
		"calls per s", "calls", "median us", "p99 us", "processor us per call", "calls per s and core of the instance")
	for _, load := range []struct {
		name string
		rate float64
	}{{"low", lowRate}, {"half", h.hop.capacity / 2}} {
		results := []*series{{latency: newTiming()}, {latency: newTiming()}}
		for range turns {
			for i, p := range paths {
				if err := h.load(ctx, p, turnTime, load.rate, results[i]); err != nil {
					return nil, err
				}
			}
		}
		h.addRows(t, load.name, load.rate, results[0], results[1])
	}
	t.Note("Callers, instance and endpoints share one process, %d callers, bodies of %d bytes; endpoints answer at once. Claims, metrics and the record of decisions are left out. Calls per second and core follow from the processor time that the hop adds.",
		hopCallers, bodyBytes)
	return t, nil
}

func (h *hop) addRows(t *table.Table, load string, rate float64, direct, through *series) {
	t.Add(load, h.direct.name, h.direct.capacity, rate, direct.calls, direct.latency.micros(50), direct.latency.micros(99), direct.perCall(), "")
	t.Add(load, h.hop.name, h.hop.capacity, rate, through.calls, through.latency.micros(50), through.latency.micros(99), through.perCall(), "")
	added := through.perCall() - direct.perCall()
	t.Add(load, "added by the hop", "", "", "", through.latency.micros(50)-direct.latency.micros(50),
		through.latency.micros(99)-direct.latency.micros(99), added, 1e6/max(1, added))
}

// load calls a path for the time of a turn and adds the calls and the processor time of the whole process to a series. rate
// is in calls per second; 0 means as fast as the callers can.
func (h *hop) load(ctx context.Context, p *path, turnTime time.Duration, rate float64, into *series) error {
	group, groupCtx := errgroup.WithContext(ctx)
	var mu sync.Mutex
	before, end := processorTime(), time.Now().Add(turnTime)
	for range hopCallers {
		group.Go(func() error {
			next := time.Now()
			for {
				if rate > 0 {
					next = next.Add(time.Duration(rand.ExpFloat64() * hopCallers / rate * float64(time.Second))) //nolint:gosec // Pauses need no secret.
					time.Sleep(time.Until(next))
				}
				began := time.Now()
				if !began.Before(end) {
					return nil
				}
				if err := h.call(groupCtx, p); err != nil {
					return err
				}
				took := time.Since(began)
				mu.Lock()
				into.calls++
				err := into.latency.add(took)
				mu.Unlock()
				if err != nil {
					return err
				}
			}
		})
	}
	err := group.Wait()
	into.cpu += processorTime() - before
	return err
}

func (h *hop) call(ctx context.Context, p *path) error {
	n := h.sent.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(), bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return fmt.Errorf("building a call: %w", err)
	}
	req.Header.Set(reply.HeaderRequestID, fmt.Sprintf("r%d", n))
	req.Header.Set(reply.HeaderCustomer, "customer-1")
	res, err := h.client.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	_, err = io.Copy(io.Discard, res.Body)
	if err = errors.Join(err, res.Body.Close()); err != nil {
		return fmt.Errorf("%s: reading the answer: %w", p.name, err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", p.name, res.StatusCode)
	}
	return nil
}

// processorTime returns the user and system time of this process, or 0 if it cannot be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
