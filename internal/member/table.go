package member

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
)

// Table knows the registered instances and when each was heard; it may be used concurrently.
type Table struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// Keep writes a key under the instance's lease and again whenever a new lease had to be granted.
	Keep   func(key string, value func() []byte)
	Self   Member
	Caller *wire.Caller
	// Local returns what this instance tells its peers; Instance and Draining are filled in.
	Local func() Report
	// OnReport receives each report of a peer; it is called concurrently and must not block.
	OnReport func(Report)
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
	// ExchangeEvery, PeerTimeout and ListEvery default to the constants of the same names.
	ExchangeEvery, PeerTimeout, ListEvery time.Duration

	mu       sync.Mutex
	draining bool
	known    map[model.InstanceID]Member
	heard    map[model.InstanceID]contact
	changed  chan struct{}
}

// contact is the last report of a peer and when it arrived.
type contact struct {
	at     time.Time
	report Report
}

// Run registers this instance and exchanges reports until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	if t.Keep != nil {
		t.Keep(Prefix+string(t.Self.Instance), t.value)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.follow(ctx) })
	group.Go(func() error { return t.watch(ctx) })
	return group.Wait()
}

// Live returns this instance and the members heard within LiveWithin, without draining ones, ordered by instance.
func (t *Table) Live() []Member {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Member
	for id, member := range t.known {
		if id == t.Self.Instance {
			continue
		}
		contact, found := t.heard[id]
		if found && now.Sub(contact.at) <= LiveWithin && !member.Draining && !contact.report.Draining {
			live = append(live, member)
		}
	}
	if !t.draining {
		live = append(live, t.Self)
	}
	sortMembers(live)
	return live
}

// Known returns all registered members, ordered by instance; it is empty before the first listing.
//
// While the store is unavailable, the members are those of the last listing.
func (t *Table) Known() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make([]Member, 0, len(t.known))
	for _, member := range t.known {
		known = append(known, member)
	}
	sortMembers(known)
	return known
}

// Joined reports whether this instance is among the known members.
func (t *Table) Joined() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.known[t.Self.Instance]
	return found
}

// Heard counts the known members heard within a time, this instance included.
func (t *Table) Heard(within time.Duration) int {
	return 1 + len(t.Reports(within))
}

// Reports returns the last report of each known member heard within a time, ordered by instance.
func (t *Table) Reports(within time.Duration) []Report {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for id, contact := range t.heard {
		if _, found := t.known[id]; !found || id == t.Self.Instance || now.Sub(contact.at) > within {
			continue
		}
		reports = append(reports, aged(contact.report, now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return reports
}

// SetDraining tells the other instances that this one takes no more work.
func (t *Table) SetDraining() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	if t.Keep != nil {
		t.Keep(Prefix+string(t.Self.Instance), t.value)
	}
}

// Address returns the peer address of a known member.
func (t *Table) Address(id model.InstanceID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, found := t.known[id]
	return member.PeerAddress, found
}

// value returns the membership entry of this instance.
func (t *Table) value() []byte {
	t.mu.Lock()
	self := t.Self
	self.Draining = t.draining
	t.mu.Unlock()
	data, err := json.Marshal(self)
	if err != nil {
		t.Log.Error().Err(err).Msg("member: entry cannot be encoded")
	}
	return data
}

// follow lists the members and keeps one exchange per peer running.
func (t *Table) follow(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	peers := map[model.InstanceID]peering{}
	defer func() {
		for _, peer := range peers {
			peer.stop()
		}
	}()
	ticker := time.NewTicker(cmp.Or(t.ListEvery, DefaultListEvery))
	defer ticker.Stop()
	for {
		if err := t.Refresh(ctx); err != nil {
			t.Log.Warn().Err(err).Msg("member: members not listed")
		}
		t.adjust(ctx, peers, &running)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.changes():
		}
	}
}

// peering is one exchange with a peer.
type peering struct {
	member Member
	stop   context.CancelFunc
}

// adjust starts exchanges with new members and ends those with members that left or moved.
func (t *Table) adjust(ctx context.Context, peers map[model.InstanceID]peering, running *sync.WaitGroup) {
	wanted := map[model.InstanceID]Member{}
	for _, member := range t.Known() {
		if member.Instance != t.Self.Instance {
			wanted[member.Instance] = member
		}
	}
	for id, peer := range peers {
		member, found := wanted[id]
		if found && member.PeerAddress == peer.member.PeerAddress && member.Incarnation == peer.member.Incarnation {
			continue
		}
		peer.stop()
		delete(peers, id)
	}
	for id, member := range wanted {
		if _, found := peers[id]; found {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		peers[id] = peering{member: member, stop: cancel}
		running.Go(func() { t.exchange(peerCtx, member) })
	}
}

// Refresh replaces the known members by those in the store now. Run does so by itself when a membership changes.
func (t *Table) Refresh(ctx context.Context) error {
	listing, err := t.Store.List(ctx, Prefix)
	if err != nil {
		return eris.Wrap(err, "listing members")
	}
	known := map[model.InstanceID]Member{}
	for _, entry := range listing.Entries {
		var member Member
		if err := json.Unmarshal(entry.Value, &member); err != nil {
			t.Log.Error().Err(err).Str("key", entry.Key).Msg("member: entry cannot be decoded")
			continue
		}
		if string(member.Instance) != strings.TrimPrefix(entry.Key, Prefix) {
			t.Log.Error().Str("key", entry.Key).Str("instance", string(member.Instance)).Msg("member: entry is under another key")
			continue
		}
		known[member.Instance] = member
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = known
	for id := range t.heard {
		if _, found := known[id]; !found {
			delete(t.heard, id)
		}
	}
	return nil
}

// watch asks for a listing whenever a membership key changes.
func (t *Table) watch(ctx context.Context) error {
	const wait, pause = 10 * time.Second, time.Second
	var after store.Revision
	for ctx.Err() == nil {
		listing, err := t.Store.Watch(ctx, Prefix, after, wait)
		if err != nil {
			t.Log.Debug().Err(err).Msg("member: watch ended")
			if err := clock.Sleep(ctx, pause); err != nil {
				return err
			}
			continue
		}
		if len(listing.Entries)+len(listing.Deleted) > 0 || listing.Compacted {
			t.notify()
		}
		after = max(after, listing.Revision)
	}
	return ctx.Err()
}

func (t *Table) changes() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{}, 1)
	}
	return t.changed
}

func (t *Table) notify() {
	select {
	case t.changes() <- struct{}{}:
	default:
	}
}

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
}

// aged returns a copy of a report whose ages hold now.
func aged(r Report, now time.Time) Report {
	passed := now.Sub(r.AsOf)
	r.ConfirmedAge += passed
	r.Summaries = slices.Clone(r.Summaries)
	for i := range r.Summaries {
		r.Summaries[i].At += passed
	}
	r.AsOf = now
	return r
}

// Register serves the exchange to other instances.
func (t *Table) Register(mux *http.ServeMux) {
	inner := http.NewServeMux()
	wire.Handle(inner, ProcedureExchange, t.receive)
	mux.Handle(string(ProcedureExchange), CountHandler(inner, t.Metrics, ProcedureExchange))
}

var errUnexpectedInstance = errors.New("answer is from another instance")
