package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/agent"
	"peridotgw.example/peridotgw/internal/chief"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/platform"
)

const (
	peerTimeout     = time.Second
	peerConns       = 2
	headerTimeout   = 3 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownReserve = 2200 * time.Millisecond // part of the grace time that is kept for the calls in flight
	shutdownTimeout = 1500 * time.Millisecond
	maxHeaderBytes  = 16 << 10
)

// Node is one instance on the platform. Fields are set before Run.
type Node struct {
	Settings *platform.Settings
	Log      zerolog.Logger

	config      *OperatorConfig
	store       *kv.Store
	service     storeService
	workers     *agent.Calls
	advise      chief.Adviser
	elector     *elect.Elector
	jobIntake   *intake.Service
	announcer   *announcer
	peerCaller  *wire.Caller
	meters      *meters
	chief       atomic.Pointer[chief.Scheduler] // nil while this instance does not schedule
	closing     atomic.Bool                     // set when the stop has begun
	relayOffset atomic.Uint32                   // rotates the peers that relayPeers returns
	now         func() clock.Instant
}

// New returns an instance, and a function that closes its idle connections.
func New(settings *platform.Settings, log zerolog.Logger) (*Node, func()) {
	n := &Node{Settings: settings, Log: log, config: &OperatorConfig{Log: log}, meters: newMeters(), now: clock.Boot}
	storeClient, closeStore := platform.NewClient(platform.IdleStoreConns, n.meters.traffic("store"))
	workerClient, closeWorkers := platform.NewClient(platform.IdleWorkerConns, n.meters.traffic("workers"))
	peerClient, closePeers := platform.NewClient(peerConns, n.meters.traffic("peers"))
	peerClient.Timeout = peerTimeout
	store := platform.NewStore(storeClient, settings.Store, n.storeCalled)
	adviceClient, closeAdvice := platform.NewClient(platform.IdleAdviceConns, n.meters.traffic("advice"))
	n.advise = platform.NewAdviceClient(adviceClient, settings.Advice)
	n.store, n.workers, n.peerCaller = store, platform.NewWorkerClient(workerClient), &wire.Caller{HTTP: peerClient}
	n.elector = &elect.Elector{
		Store: store, Self: elect.Node{ID: settings.Node, Address: settings.Peers, Share: settings.CPUShare}, Log: log,
		Now: n.now, Lead: n.lead, Yield: n.yieldLeadership,
		Served: n.service.lastServed,
	}
	n.announcer = newAnnouncer()
	n.announcer.Send, n.announcer.Count, n.announcer.Log = n.announceToLeader, n.meters.announced, log
	n.jobIntake = &intake.Service{
		Store: store, Owner: n.owner(), Log: log, Now: time.Now, Relay: n.relayChange, Announce: n.announcer.Add,
	}
	return n, func() {
		closeStore()
		closeWorkers()
		closePeers()
		closeAdvice()
	}
}

// storeCalled counts a call to the store and records whether the store served this instance.
func (n *Node) storeCalled(op, result string, served bool) {
	n.meters.storeCall(op, result)
	if served {
		n.service.record(n.now())
	}
}

// Run serves until ctx ends and then drains: it reports not ready to the load balancer, releases the leadership and completes
// the calls in flight.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	servers, err := n.openServers()
	if err != nil {
		return err
	}
	group, runCtx := errgroup.WithContext(runCtx)
	for _, s := range servers {
		group.Go(func() error { return s.serve() })
	}
	configFollower := &kv.Follower{Store: n.store, Prefix: platform.OperatorKeyPrefix, Log: n.Log, OnReset: n.config.reset, OnEvents: n.config.events}
	group.Go(func() error { return configFollower.Run(runCtx) })
	group.Go(func() error { return n.elector.Run(runCtx) })
	group.Go(func() error { return n.announcer.Run(runCtx) })
	group.Go(func() error { return n.followPeers(runCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.shutDown(servers) //nolint:contextcheck // The context of the service has ended.
		case <-runCtx.Done():
		}
		cancelRun()
		return nil
	})
	n.Log.Info().Str("zone", string(n.Settings.Zone)).Str("callers", n.Settings.Callers).Msg("node: started")
	err = group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	n.Log.Info().Err(err).Msg("node: stopped")
	return err
}

// shutDown drains this instance within the platform's grace time.
func (n *Node) shutDown(servers []*server) {
	n.Log.Info().Msg("node: stopping")
	n.closing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Grace-shutdownReserve)
	n.elector.Resign(ctx)
	<-ctx.Done() // New connections arrive until the load balancer has seen that the instance is not ready.
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			n.Log.Warn().Err(err).Str("address", s.http.Addr).Msg("node: listener closed with calls in flight")
		}
	}
	n.elector.Leave(ctx)
}

// lead runs the scheduler for one term.
func (n *Node) lead(ctx context.Context, term elect.Term) error {
	scheduler := &chief.Scheduler{
		Store: n.store, Workers: n.workers, Term: term, Log: n.Log, Now: n.now, WallClock: time.Now,
		Limits: n.Settings.Limits,
		Config: n.config.Config, OutOfService: n.config.OutOfService,
		TermValid: func() bool { return n.elector.TermValid(term) }, EndTerm: func() { n.elector.EndTerm(term) },
		Registry: platform.RegistryKeyPrefix, DecodeWorker: platform.DecodeWorker, Advise: n.advise, Observe: n.meters.observer(),
	}
	n.chief.Store(scheduler)
	defer n.chief.CompareAndSwap(scheduler, nil)
	return scheduler.Run(ctx)
}

// server is an HTTP server with its open listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serving %s", s.http.Addr)
}

// openServers opens all listeners; the servers do not serve yet.
func (n *Node) openServers() ([]*server, error) {
	jobAPI := &platform.JobAPI{
		Log: n.Log, Config: n.config.Config, Jobs: n.jobIntake, Closing: n.closing.Load, Observe: n.meters.call,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", n.ready)
	peers := http.NewServeMux()
	n.registerPeerHandlers(peers)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.meters.set.Handler())
	var servers []*server
	for _, s := range []struct {
		address string
		handler http.Handler
	}{{n.Settings.Peers, peers}, {n.Settings.Metrics, metrics}, {n.Settings.Ready, ready}, {n.Settings.Callers, jobAPI}} {
		listener, err := net.Listen("tcp", s.address) //nolint:noctx // listening does not block
		if err != nil {
			return nil, eris.Wrapf(err, "listening on %s", s.address)
		}
		servers = append(servers, &server{listener: listener, http: &http.Server{
			Addr: s.address, Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	return servers, nil
}

// ready answers the load balancer's probe: it fails while the instance drains or has no configuration.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.closing.Load() || n.config.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
