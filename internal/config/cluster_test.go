package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const (
	kvHost        = "kv"
	dcName        = "fairground"
	leaseTTL      = 5 * time.Second
	renewInterval = 1500 * time.Millisecond
)

var (
	errNoWatch = errors.New("watch is lost")
	errNoWrite = errors.New("write is lost")
)

// cluster runs a store and instances in one process on an in-memory network.
type cluster struct {
	ctx       context.Context
	kv        *fakekv.Server
	net       *memnet.Net
	instances map[string]*instance
	// loseWatches makes all watches fail, so that revisions arrive only by reads and from peers.
	loseWatches atomic.Bool
	// segmentReads counts reads of segments.
	segmentReads atomic.Int64
	// unproved makes the lease calls of instance b fail, so that it gets no new proofs.
	unproved atomic.Bool
	// configure changes a follower before it runs; it may be nil.
	configure func(*config.Follower)
}

// instance is one process of a gateway instance.
type instance struct {
	id          string
	follower    *config.Follower
	members     *member.Table
	publisher   *config.Publisher
	stop        func()
	leaseKeeper *leaseKeeper
}

func newCluster(ctx context.Context, ids ...string) *cluster {
	c := &cluster{ctx: ctx, kv: fakekv.New(), net: memnet.New(), instances: map[string]*instance{}}
	c.net.Latency = time.Millisecond
	c.net.SetHandler(kvHost, c.kv)
	for _, id := range ids {
		c.instances[id] = nil
	}
	return c
}

// startAll starts all instances.
func (c *cluster) startAll() *cluster {
	for id := range c.instances {
		c.start(id)
	}
	return c
}

func (c *cluster) client(host string) *store.Client {
	do := c.net.Transport(memnet.Host(host)).RoundTrip
	return &store.Client{BaseURL: "http://" + kvHost, Timeout: store.DefaultTimeout, Do: func(r *http.Request) (*http.Response, error) {
		if c.loseWatches.Load() && r.URL.Path == "/v1/watch" {
			return nil, errNoWatch
		}
		if strings.HasPrefix(r.URL.Path, "/v1/kv/config/segment/") && r.Method == http.MethodGet {
			c.segmentReads.Add(1)
		}
		if c.unproved.Load() && host == "b" && strings.HasPrefix(r.URL.Path, "/v1/leases") {
			return nil, errNoWrite
		}
		return do(r)
	}}
}

// start runs an instance and stops its previous process.
func (c *cluster) start(id string) *instance {
	if former := c.instances[id]; former != nil {
		former.stop()
	}
	client := c.client(id)
	caller := &wire.Caller{HTTP: c.net.Client(memnet.Host(id))}
	ctx, cancel := context.WithCancel(c.ctx)
	inst := &instance{id: id, leaseKeeper: &leaseKeeper{store: client}}
	inst.members = &member.Table{
		Store: client, KeepKey: inst.leaseKeeper.keep, Caller: caller,
		Self: member.Member{Instance: model.InstanceID(id), Incarnation: model.Incarnation(time.Now().String()), PeerAddress: id},
	}
	inst.follower = &config.Follower{Store: client, LastRenewal: inst.leaseKeeper.proof, Members: inst.members, Caller: caller}
	if c.configure != nil {
		c.configure(inst.follower)
	}
	inst.members.OnReport = inst.follower.Report
	inst.members.LocalReport = func() (r member.Report) {
		r.Revision, r.ConfirmedAge, r.Confirmed = inst.follower.Confirmation()
		return r
	}
	inst.publisher = &config.Publisher{Store: client, Follower: inst.follower}
	mux := http.NewServeMux()
	inst.members.Register(mux)
	inst.follower.Register(mux)
	c.net.SetHandler(memnet.Host(id), mux)
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{inst.members.Run, inst.follower.Run, inst.leaseKeeper.run} {
		running.Go(func() { _ = run(ctx) })
	}
	inst.stop = func() { cancel(); running.Wait() }
	c.instances[id] = inst
	return inst
}

// leaseKeeper renews a store lease and reports the store revision of the last renewal as the proof.
type leaseKeeper struct {
	store *store.Client
	mu    sync.Mutex
	id    store.LeaseID
	rev   store.Revision
	sent  time.Time
	key   string
	value func() []byte
}

func (l *leaseKeeper) keep(key string, value func() []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.key, l.value = key, value
}

func (l *leaseKeeper) proof() (store.Revision, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev, l.sent
}

func (l *leaseKeeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.renew(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		}
	}
	return ctx.Err()
}

func (l *leaseKeeper) renew(ctx context.Context) {
	sent := time.Now()
	var granted store.Lease
	var err error
	if l.id != 0 {
		granted, err = l.store.KeepAlive(ctx, l.id)
	}
	var missing *store.NotFoundError
	if l.id == 0 || errors.As(err, &missing) {
		if granted, err = l.store.Grant(ctx, leaseTTL); err != nil {
			return
		}
		var conflict *store.ConflictError
		_, err = l.store.Put(ctx, l.key, l.value(), 0, granted.ID)
		if errors.As(err, &conflict) {
			_, err = l.store.Put(ctx, l.key, l.value(), conflict.Current.Version, granted.ID)
		}
	}
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.rev, l.sent = granted.ID, granted.Revision, sent
}

// object encodes a typed object.
func object(kind model.Kind, name string, spec any) model.Object {
	data, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	return model.Object{Kind: kind, Name: name, Spec: data}
}

func dataCentre(state model.ServiceState) model.Object {
	racks := []model.Rack{{Name: "r1", Workers: 6, AcceleratorsPerWorker: 8}}
	return object(model.KindDataCentre, dcName, model.DataCentre{Service: state, Racks: racks})
}

func customer(name string, weight int) model.Object {
	return object(model.KindCustomer, name, model.Customer{Weight: weight})
}

// mustPublish publishes a change and expects it to succeed.
func (c *cluster) mustPublish(p *config.Publisher, id string, base model.Revision, put ...model.Object) config.Result {
	result, refused := p.Publish(c.ctx, config.Change{ID: model.ChangeID(id), Base: base, Put: put})
	Expect(refused).To(BeNil())
	return result
}

// history returns the revision of each change. It needs a store without faults.
func (c *cluster) history() map[model.ChangeID]model.Revision {
	reader := &config.Publisher{Store: c.client("reader")}
	ids := map[model.ChangeID]model.Revision{}
	newest, refused := reader.ReadRevision(c.ctx, 0)
	Expect(refused).To(BeNil())
	for rev := model.Revision(1); rev <= newest.Revision; rev++ {
		set, refused := reader.ReadRevision(c.ctx, rev)
		Expect(refused).To(BeNil())
		Expect(ids).NotTo(HaveKey(set.ChangeID), "a change took effect twice")
		ids[set.ChangeID] = rev
	}
	return ids
}

// untrueAnswers lists the answers of publications that contradict the history (promise P5).
func untrueAnswers(answers map[model.ChangeID]*reply.Error, history map[model.ChangeID]model.Revision) []string {
	var found []string
	for id, refused := range answers {
		_, happened := history[id]
		switch {
		case refused == nil && !happened:
			found = append(found, fmt.Sprintf("%s was reported done and is not in the history", id))
		case refused != nil && refused.Outcome == reply.OutcomeRefused && happened:
			found = append(found, fmt.Sprintf("%s was refused (%s) and took effect", id, refused.Reason))
		}
	}
	return found
}

// revertWatcher records the revision in effect on each instance, across restarts, and each step back to an older one.
type revertWatcher struct {
	last    map[string]model.Revision
	reverts []string
}

// recordRevisions records the present revisions and any reverts (promise P9).
func (w *revertWatcher) recordRevisions(c *cluster) {
	for id, inst := range c.instances {
		set := inst.follower.Current()
		if set == nil {
			continue
		}
		if set.Revision < w.last[id] {
			w.reverts = append(w.reverts, fmt.Sprintf("%s went from %d to %d", id, w.last[id], set.Revision))
		}
		w.last[id] = set.Revision
	}
}

// watchFor records revisions every 10 ms for the duration d.
func (w *revertWatcher) watchFor(c *cluster, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.recordRevisions(c)
	}
}

// cleanLimiter returns the limiter of deletes that instances use.
func cleanLimiter() *rate.Limiter { return rate.NewLimiter(config.CleanupDeletesPerSecond, 1) }
