package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
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
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/platform"
)

const (
	peerTimeout    = time.Second
	peerConns      = 2
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10

	// The servers have limits of their own, so that callers do not take the place of other instances. The rest of the descriptors is for
	// connections to workers, to the store and to other instances.
	bodyShare       = 8  // divisor of the memory; decoded bodies and the heap's growth between collections take three times as much in all
	callerConnShare = 2  // divisor of the descriptors
	peerConnShare   = 4  // divisor of the descriptors
	probeConns      = 16 // connections for probes of readiness, and for metrics
	// callShare is the divisor of the descriptors for the calls of each kind that are worked on at a time: a change takes up to three
	// connections, to the store and to two other instances.
	callShare = 32
	minCalls  = 16

	// shutdownReserve is the part of the grace time that is kept for the two steps after it, and for the end of the process. The steps
	// shrink in proportion when the grace time is shorter.
	shutdownReserve = 2200 * time.Millisecond
	leaveTimeout    = 300 * time.Millisecond
	drainTimeout    = 1500 * time.Millisecond // includes the time that package serve keeps for the last answers
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
	n.jobIntake = &intake.Service{
		Owner: n.owner(), Log: log, Now: time.Now, Relay: n.relayChange, Refused: n.meters.refused,
		MaxCalls: max(minCalls, settings.Machine.Descriptors/callShare),
	}
	store := n.jobIntake.ObserveStore(platform.NewStore(storeClient, settings.Store, n.storeCalled))
	n.jobIntake.Store = store
	adviceClient, closeAdvice := platform.NewClient(platform.IdleAdviceConns, n.meters.traffic("advice"))
	n.advise = platform.NewAdviceClient(adviceClient, settings.Advice)
	n.store, n.workers, n.peerCaller = store, platform.NewWorkerClient(workerClient), &wire.Caller{HTTP: peerClient}
	n.elector = &elect.Elector{
		Store: store, Self: elect.Node{ID: settings.Node, Address: settings.Peers, Share: settings.CPUShare, Memory: settings.Machine.Memory}, Log: log,
		Now: n.now, Lead: n.lead, Yield: n.yieldLeadership,
		Served: n.service.lastServed,
	}
	n.announcer = newAnnouncer()
	n.announcer.Send, n.announcer.Count, n.announcer.Log = n.announceToLeader, n.meters.announced, log
	n.jobIntake.Announce = n.announcer.Add
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

// Run serves until ctx ends and then drains: it reports not ready to the load balancer, releases the leadership and answers the
// requests that have arrived.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	servers, err := n.openServers(ctx)
	if err != nil {
		return err
	}
	group, runCtx := errgroup.WithContext(runCtx)
	for _, s := range servers.all() {
		group.Go(func() error { return runServer(runCtx, s) })
	}
	configFollower := &kv.Follower{
		Store: n.store, Prefix: platform.OperatorKeyPrefix, Log: n.Log, LargeValues: true, OnReset: n.config.reset, OnEvents: n.config.events,
	}
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
	machine := n.Settings.Machine
	n.Log.Info().Str("zone", string(n.Settings.Zone)).Str("callers", n.Settings.Callers).
		Int64("memory", int64(machine.Memory)).Str("memory-from", string(machine.MemoryFrom)).
		Int("descriptors", machine.Descriptors).Str("descriptors-from", string(machine.DescriptorsFrom)).Msg("node: started")
	err = group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	n.Log.Info().Err(err).Msg("node: stopped")
	return err
}

// runServer runs a server. Requests that the stop has cut are no failure of the instance, and drain logs them.
func runServer(ctx context.Context, server *serve.Server) error {
	err := server.Run(ctx)
	var cut *serve.CutError
	if errors.As(err, &cut) {
		return nil
	}
	return err
}

// shutDown drains this instance within the platform's grace time. The leadership, unless another instance has taken it before, and the
// registration end before the listeners close, so that peers no longer call this instance then.
func (n *Node) shutDown(servers *servers) {
	n.Log.Info().Msg("node: stopping")
	n.closing.Store(true)
	servers.callers.SetDraining()
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Grace-shutdownReserve)
	n.elector.StopSoon(ctx)
	<-ctx.Done() // New connections arrive until the load balancer has seen that the instance is not ready.
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), n.stepTimeout(leaveTimeout))
	n.elector.Resign(ctx)
	n.elector.Leave(ctx)
	cancel()
	var group sync.WaitGroup
	group.Go(func() { n.drain(servers.callers) })
	group.Go(func() { n.drain(servers.peers) })
	group.Wait()
}

// stepTimeout returns the time of a step of a stop, which is shorter if the grace time is.
func (n *Node) stepTimeout(timeout time.Duration) time.Duration {
	share := float64(n.Settings.Grace) / float64(shutdownReserve)
	return time.Duration(min(1, share) * float64(timeout))
}

// drain drains one server.
func (n *Node) drain(server *serve.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), n.stepTimeout(drainTimeout))
	defer cancel()
	if err := server.Drain(ctx); err != nil {
		n.Log.Warn().Err(err).Msg("node: requests cut by the stop")
	}
}

// lead runs the scheduler for one term.
func (n *Node) lead(ctx context.Context, term elect.Term) error {
	scheduler := &chief.Scheduler{
		Store: n.store, Workers: n.workers, Term: term, Log: n.Log, Now: n.now, WallClock: time.Now,
		Limits: n.Settings.Limits, MemoryLimit: n.jobMemory,
		Config: n.config.Config, OutOfService: n.config.OutOfService,
		TermValid: func() bool { return n.elector.TermValid(term) }, EndTerm: func() { n.elector.EndTerm(term) },
		NoticeSeen: n.elector.NoticeSeen,
		Registry:   platform.RegistryKeyPrefix, DecodeWorker: platform.DecodeWorker, Advise: n.advise, Observe: n.meters.observer(),
	}
	n.chief.Store(scheduler)
	defer n.chief.CompareAndSwap(scheduler, nil)
	return scheduler.Run(ctx)
}

// servers are the HTTP servers of an instance.
type servers struct {
	callers, peers, ready, metrics *serve.Server
}

func (s *servers) all() []*serve.Server {
	return []*serve.Server{s.peers, s.metrics, s.ready, s.callers}
}

// openServers opens all listeners; the servers do not serve yet.
func (n *Node) openServers(ctx context.Context) (*servers, error) {
	jobAPI := &platform.JobAPI{Log: n.Log, Config: n.config.Config, Jobs: n.jobIntake, Closing: n.closing.Load, Observe: n.meters.call}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readyz", n.ready)
	peers := http.NewServeMux()
	n.registerPeerHandlers(peers)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.meters.set.Handler())
	s := &servers{
		callers: n.newServer("callers", n.Settings.Callers, jobAPI),
		peers:   n.newServer("peers", n.Settings.Peers, wire.Limited(peers)),
		ready:   n.newServer("ready", n.Settings.Ready, ready),
		metrics: n.newServer("metrics", n.Settings.Metrics, metrics),
	}
	s.callers.Refuse = platform.RefuseStopping
	machine := n.Settings.Machine
	s.callers.Bodies, s.callers.MaxConns = machine.Bodies(bodyShare), machine.Conns(callerConnShare)
	s.peers.Bodies, s.peers.MaxConns = machine.Bodies(bodyShare), machine.Conns(peerConnShare)
	for _, server := range s.all() {
		listener, err := serve.Listen(ctx, server.HTTP.Addr)
		if err != nil {
			return nil, eris.Wrapf(err, "listening on %s", server.HTTP.Addr)
		}
		server.Listener = listener
	}
	return s, nil
}

// newServer returns a server without a listener.
func (n *Node) newServer(name, address string, handler http.Handler) *serve.Server {
	return &serve.Server{
		Name: name, Log: n.Log, Observe: n.meters.drainedConn(name), MaxConns: probeConns, ObserveShed: n.meters.shed(name),
		HTTP: &http.Server{
			Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
	}
}

// ready answers the load balancer's probe: it fails while the instance drains or has no configuration.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.closing.Load() || n.config.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
