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

// Table holds the registered instances and the last report of each. The exported fields are set before Run; the methods are safe for
// concurrent use.
type Table struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	Store   *store.Client
	// KeepKey writes a key under the instance's lease, and writes it again whenever a new lease is granted.
	KeepKey func(key string, value func() []byte)
	Self    Member
	Caller  *wire.Caller
	// LocalReport returns this instance's report to its peers; Table sets Instance and Draining. Nil means an empty report.
	LocalReport func() Report
	// OnReport receives each report of a peer; it is called concurrently and must not block.
	OnReport func(Report)
	// Now is a monotonic clock; nil means time.Now.
	Now func() time.Time
	// ExchangeEvery, PeerTimeout and ListEvery default to DefaultExchangeEvery, DefaultPeerTimeout and DefaultListEvery.
	ExchangeEvery, PeerTimeout, ListEvery time.Duration

	// mu guards the fields below.
	mu          sync.Mutex
	draining    bool
	known       map[model.InstanceID]Member
	lastReports map[model.InstanceID]lastReport
	changed     chan struct{} // triggers a listing; created by changedChannel
}

// lastReport is the last report of a peer and its local time of arrival.
type lastReport struct {
	at     time.Time
	report Report
}

// Run registers this instance and exchanges reports until ctx ends. It returns the error of ctx.
func (t *Table) Run(ctx context.Context) error {
	if t.KeepKey != nil {
		t.KeepKey(Prefix+string(t.Self.Instance), t.membershipEntry)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.followMembers(ctx) })
	group.Go(func() error { return t.watchMembers(ctx) })
	return group.Wait()
}

// Live returns this instance and the members that reported within LivenessTimeout, without draining ones, ordered by instance.
func (t *Table) Live() []Member {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Member
	for id, member := range t.known {
		if id == t.Self.Instance {
			continue
		}
		lastReport, found := t.lastReports[id]
		if found && now.Sub(lastReport.at) <= LivenessTimeout && !member.Draining && !lastReport.report.Draining {
			live = append(live, member)
		}
	}
	if !t.draining {
		live = append(live, t.Self)
	}
	sortMembers(live)
	return live
}

// Known returns the members registered at the last listing, ordered by instance; it is empty before the first one. While the store
// is unavailable, the last listing remains in use.
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

// Registered reports whether this instance is among the known members.
func (t *Table) Registered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.known[t.Self.Instance]
	return found
}

// ReportingCount returns the number of known members that reported within the given time, including this instance.
func (t *Table) ReportingCount(within time.Duration) int {
	return 1 + len(t.Reports(within))
}

// Reports returns the last report of each known member that reported within the given time, ordered by instance. Their ages
// are as of now.
func (t *Table) Reports(within time.Duration) []Report {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for id, lastReport := range t.lastReports {
		if _, found := t.known[id]; !found || id == t.Self.Instance || now.Sub(lastReport.at) > within {
			continue
		}
		reports = append(reports, withCurrentAges(lastReport.report, now))
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Instance, b.Instance) })
	return reports
}

// SetDraining marks this instance as draining, in its reports and in its membership entry, so that it gets no more work.
func (t *Table) SetDraining() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	if t.KeepKey != nil {
		t.KeepKey(Prefix+string(t.Self.Instance), t.membershipEntry)
	}
}

// Address returns the peer address ("host:port") of a known member.
func (t *Table) Address(id model.InstanceID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	member, found := t.known[id]
	return member.PeerAddress, found
}

// membershipEntry returns the encoded membership entry of this instance.
func (t *Table) membershipEntry() []byte {
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

// followMembers lists the members, periodically and after each change, and runs one exchange loop per peer.
func (t *Table) followMembers(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	peers := map[model.InstanceID]peerExchange{}
	defer func() {
		for _, peer := range peers {
			peer.stop()
		}
	}()
	ticker := time.NewTicker(cmp.Or(t.ListEvery, DefaultListEvery))
	defer ticker.Stop()
	for {
		if err := t.Refresh(ctx); err != nil {
			t.Log.Warn().Err(err).Msg("member: listing the members failed")
		}
		t.adjustExchanges(ctx, peers, &running)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-t.changedChannel():
		}
	}
}

// peerExchange is a running exchange loop with a peer.
type peerExchange struct {
	member Member
	stop   context.CancelFunc
}

// adjustExchanges starts exchange loops with new members and stops those with members that left or whose address or incarnation
// changed.
func (t *Table) adjustExchanges(ctx context.Context, peers map[model.InstanceID]peerExchange, running *sync.WaitGroup) {
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
		peers[id] = peerExchange{member: member, stop: cancel}
		running.Go(func() { t.exchangeLoop(peerCtx, member) })
	}
}

// Refresh replaces the known members by those registered in the store. Run calls it periodically and when a membership changes.
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
			t.Log.Error().Str("key", entry.Key).Str("instance", string(member.Instance)).Msg("member: key does not match the instance of its entry")
			continue
		}
		known[member.Instance] = member
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = known
	for id := range t.lastReports {
		if _, found := known[id]; !found {
			delete(t.lastReports, id)
		}
	}
	return nil
}

// watchMembers triggers a listing whenever a membership key changes.
func (t *Table) watchMembers(ctx context.Context) error {
	const watchTimeout, retryDelay = 10 * time.Second, time.Second
	var after store.Revision
	for ctx.Err() == nil {
		listing, err := t.Store.Watch(ctx, Prefix, after, watchTimeout)
		if err != nil {
			t.Log.Debug().Err(err).Msg("member: watch ended")
			if err := clock.Sleep(ctx, retryDelay); err != nil {
				return err
			}
			continue
		}
		if len(listing.Entries)+len(listing.Deleted) > 0 || listing.Compacted {
			t.notifyChanged()
		}
		after = max(after, listing.Revision)
	}
	return ctx.Err()
}

func (t *Table) changedChannel() chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{}, 1)
	}
	return t.changed
}

func (t *Table) notifyChanged() {
	select {
	case t.changedChannel() <- struct{}{}:
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

// withCurrentAges returns a copy of a report with its ages advanced to now.
func withCurrentAges(r Report, now time.Time) Report {
	passed := now.Sub(r.AsOf)
	r.ConfirmedAge += passed
	r.Summaries = slices.Clone(r.Summaries)
	for i := range r.Summaries {
		r.Summaries[i].LoadAge += passed
	}
	r.AsOf = now
	return r
}

// Register adds the handler of ProcedureExchange to mux.
func (t *Table) Register(mux *http.ServeMux) {
	inner := http.NewServeMux()
	wire.Handle(inner, ProcedureExchange, t.handleExchange)
	mux.Handle(string(ProcedureExchange), CountHandlerBytes(inner, t.Metrics, ProcedureExchange))
}

var errUnexpectedInstance = errors.New("answered by another instance")
