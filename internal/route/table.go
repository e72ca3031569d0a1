package route

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
)

// Limits of the table.
const (
	// DefaultSlots applies until the VM list or an answer tells the slots of an endpoint.
	DefaultSlots model.SlotCount = 8
	// ConnsPerEndpoint is the number of connections that one endpoint takes from all instances together.
	ConnsPerEndpoint = 60
	// minConns and extraConns give the budget of one instance: its own slots and extraConns, at most its part of
	// ConnsPerEndpoint, which is 6 with nine instances.
	minConns   = 6
	extraConns = 2
	// reportAge is how long a report of free slots is good enough to borrow by.
	reportAge = time.Second
	// peerHold is how long peers are not believed about an endpoint whose incarnation changed, as they may not have
	// noticed the change yet.
	peerHold = 30 * time.Second
	// forgetAfter removes endpoints that the VM list no longer names.
	forgetAfter = 10 * time.Minute
)

// Sources of leaving marks.
const (
	SourceAnswer   = "answer"
	SourceVMList   = "vm-list"
	SourceOperator = "operator"
	SourcePeer     = "peer"
)

// Table holds the endpoints; its methods may be used concurrently.
type Table struct {
	Log     zerolog.Logger
	Metrics *metric.Set
	// Current returns the configuration in effect; nil means that every data centre is in service.
	Current func() *model.Set
	// Members returns the live instances that slots are dealt to, self included.
	Members    func() []model.InstanceID
	Self       model.InstanceID
	DataCentre model.DataCentreID
	// Do sends a health probe; nil means an own transport that opens a new connection for each probe.
	Do func(*http.Request) (*http.Response, error)
	// Choose, when set, replaces slot shares and selection: it gets all usable endpoints with a free slot and returns an
	// index. Benchmarks use it to compare other rules.
	Choose func([]Candidate) int
	// Trust makes new endpoints usable without a probe; tests and benchmarks without health probes set it.
	Trust bool
	// KeepLeaving is whether marks of leaving endpoints are heeded; nil means yes. Tests switch it off.
	KeepLeaving func() bool
	// OnFree is called without locks held whenever a slot may have become free.
	OnFree func()

	mu        sync.Mutex
	endpoints map[model.EndpointID]*endpoint
	zones     []*zone
	members   []model.InstanceID
	// joined is set once self was a live member.
	joined bool
	// early holds marks of operators for endpoints that the VM list has not named yet.
	early     map[model.EndpointID]string
	revision  model.Revision
	out       map[model.DataCentreID]bool
	waiters   []*waiter
	connLimit int
	wake      chan struct{}
	counters  counters
}

// zone holds the endpoints of one data centre.
type zone struct {
	id  model.DataCentreID
	all []*endpoint
	// free holds those with a free own slot.
	free []*endpoint
	// usable and slots are sums over the usable endpoints.
	usable, slots int
}

// Update takes a new VM list; entries of other kinds are ignored. The list never restores an endpoint that is leaving.
func (t *Table) Update(vms []vmlist.VM) {
	t.mu.Lock()
	t.prepare()
	// The lists of free endpoints are rebuilt by refresh, as an endpoint may have moved to another data centre.
	t.zones = nil
	for _, e := range t.endpoints {
		e.freeIndex, e.counted = -1, -1
	}
	listed := make(map[model.EndpointID]bool, len(vms))
	for _, vm := range vms {
		if vm.Kind == vmlist.KindEndpoint {
			listed[model.EndpointID(vm.Name)] = true
			t.updateOne(vm)
		}
	}
	now := time.Now()
	for id, e := range t.endpoints {
		switch {
		case listed[id]:
			e.missingSince = time.Time{}
		case e.missingSince.IsZero():
			e.missingSince = now
		case now.Sub(e.missingSince) > forgetAfter && e.inFlight == 0:
			delete(t.endpoints, id)
		}
	}
	t.refresh()
	t.mu.Unlock()
	t.notify()
}

func (t *Table) updateOne(vm vmlist.VM) {
	id := model.EndpointID(vm.Name)
	e, known := t.endpoints[id]
	if !known {
		e = &endpoint{id: id, slots: DefaultSlots, proven: t.Trust, incarnation: vm.Incarnation, past: map[model.Incarnation]bool{}, freeIndex: -1, counted: -1}
		t.endpoints[id] = e
		if source, marked := t.early[id]; marked {
			delete(t.early, id)
			t.mark(e, source)
		}
	}
	if e.past[vm.Incarnation] {
		return // The list still shows a process that has been replaced.
	}
	e.dataCentre = vm.DataCentre
	if e.address != vm.Address {
		e.address = vm.Address
		e.proven = t.Trust
	}
	t.setIncarnation(e, vm.Incarnation)
	if vm.Slots > 0 && !e.learned {
		e.slots = vm.Slots
	}
	if vm.State == vmlist.StateLeaving {
		t.mark(e, SourceVMList)
	}
}

// setIncarnation forgets what was learned of the previous process of an endpoint.
func (t *Table) setIncarnation(e *endpoint, incarnation model.Incarnation) {
	if incarnation == "" || incarnation == e.incarnation || e.past[incarnation] {
		return
	}
	if e.incarnation != "" {
		e.past[e.incarnation] = true
		e.changedAt = time.Now()
		e.leaving, e.learned, e.failures, e.ejected = "", false, 0, false
		e.proven = t.Trust
		t.Log.Info().Str("endpoint", string(e.id)).Str("incarnation", string(incarnation)).Msg("route: endpoint restarted")
	}
	e.incarnation = incarnation
}

// SetLeaving marks endpoints as leaving until their incarnation changes. Peers are not believed for a while after a
// change of incarnation, because their own knowledge may still be of the previous process.
func (t *Table) SetLeaving(ids []model.EndpointID, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	now := time.Now()
	for _, id := range ids {
		e, known := t.endpoints[id]
		if !known && source == SourceOperator {
			t.early[id] = source
		}
		if !known || (strings.HasPrefix(source, SourcePeer) && !e.changedAt.IsZero() && now.Sub(e.changedAt) < peerHold) {
			continue
		}
		t.mark(e, source)
	}
}

func (t *Table) mark(e *endpoint, source string) {
	if e.leaving != "" {
		return
	}
	e.leaving = source
	t.count(t.counters.leaving, source)
	t.place(e)
	t.Log.Info().Str("endpoint", string(e.id)).Str("source", source).Msg("route: endpoint is leaving")
}

// Leaving returns the endpoints known to be leaving, sorted.
func (t *Table) Leaving() []model.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []model.EndpointID
	for id, e := range t.endpoints {
		if e.leaving != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Slots returns the own slots on usable endpoints of the data centres; none named means all.
func (t *Table) Slots(allowed []model.DataCentreID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, z := range t.zones {
		if permitted(allowed, z.id) {
			slots += z.slots
		}
	}
	return slots
}

// Usable returns the number of endpoints of the data centres that may get work; none named means all.
func (t *Table) Usable(allowed []model.DataCentreID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, z := range t.zones {
		if permitted(allowed, z.id) {
			count += z.usable
		}
	}
	return count
}

// Refresh takes over changes of the live members and of the configuration.
func (t *Table) Refresh() {
	t.mu.Lock()
	t.prepare()
	changed := t.refreshIfChanged()
	t.mu.Unlock()
	if changed {
		t.notify()
	}
}

func (t *Table) prepare() {
	if t.endpoints != nil {
		return
	}
	t.endpoints, t.early = map[model.EndpointID]*endpoint{}, map[model.EndpointID]string{}
	t.wake = make(chan struct{}, 1)
	t.connLimit = ConnsPerEndpoint
	t.counters = newCounters(t.Metrics)
}

func (t *Table) refreshIfChanged() bool {
	members := t.liveMembers()
	changed := !slices.Equal(members, t.members)
	if t.Current != nil {
		if set := t.Current(); set != nil && set.Revision != t.revision {
			changed = true
		}
	}
	if changed {
		t.refresh()
	}
	return changed
}

// liveMembers returns the members that slots are dealt to. An instance that drains is no longer live for the others, but it
// keeps its slots for itself: without them it could not serve what still arrives until the balancer notices. Endpoints
// refuse what exceeds their slots meanwhile, which is retried elsewhere.
func (t *Table) liveMembers() []model.InstanceID {
	if t.Members == nil {
		return []model.InstanceID{t.Self}
	}
	members := t.Members()
	if slices.Contains(members, t.Self) {
		t.joined = true
	} else if t.joined {
		members = append(slices.Clone(members), t.Self)
	}
	return members
}

// refresh recomputes slot shares, data centres in service and the lists of free endpoints.
func (t *Table) refresh() {
	t.members = slices.Clone(t.liveMembers())
	t.connLimit = max(minConns, ConnsPerEndpoint/max(1, len(t.members)))
	t.out = map[model.DataCentreID]bool{}
	if t.Current != nil {
		if set := t.Current(); set != nil {
			t.revision = set.Revision
			for id, dc := range set.DataCentres {
				t.out[id] = dc.Service == model.ServiceOut
			}
		}
	}
	t.zones = nil
	for _, id := range sortedIDs(t.endpoints) {
		e := t.endpoints[id]
		e.own = share(t.members, t.Self, e.id, e.slots)
		e.freeIndex, e.counted = -1, -1
		z := t.zone(e.dataCentre)
		z.all = append(z.all, e)
		t.place(e)
	}
}

// zone returns the zone of a data centre; the own one is first in the list.
func (t *Table) zone(id model.DataCentreID) *zone {
	for _, z := range t.zones {
		if z.id == id {
			return z
		}
	}
	z := &zone{id: id}
	if id == t.DataCentre {
		t.zones = slices.Insert(t.zones, 0, z)
	} else {
		t.zones = append(t.zones, z)
	}
	return z
}

// place brings the sums and the list of free endpoints of an endpoint's zone up to date.
func (t *Table) place(e *endpoint) {
	usable := t.usable(e)
	t.sum(e, usable)
	free := usable && e.ownInFlight < e.own && e.inFlight < e.limit(t.connLimit)
	if free == (e.freeIndex >= 0) {
		return
	}
	z := t.zone(e.dataCentre)
	if free {
		e.freeIndex = len(z.free)
		z.free = append(z.free, e)
		return
	}
	last := z.free[len(z.free)-1]
	z.free[e.freeIndex] = last
	last.freeIndex = e.freeIndex
	z.free = z.free[:len(z.free)-1]
	e.freeIndex = -1
}

func (t *Table) sum(e *endpoint, usable bool) {
	counted := -1
	if usable {
		counted = min(e.own, t.connLimit)
	}
	if counted == e.counted {
		return
	}
	z := t.zone(e.dataCentre)
	if e.counted >= 0 {
		z.usable--
		z.slots -= e.counted
	}
	if usable {
		z.usable++
		z.slots += counted
	}
	e.counted = counted
}

func (t *Table) usable(e *endpoint) bool {
	if e.leaving != "" && (t.KeepLeaving == nil || t.KeepLeaving()) {
		return false
	}
	return e.proven && !e.ejected && e.missingSince.IsZero() && !t.out[e.dataCentre]
}

func permitted(allowed []model.DataCentreID, id model.DataCentreID) bool {
	return len(allowed) == 0 || slices.Contains(allowed, id)
}

func sortedIDs(endpoints map[model.EndpointID]*endpoint) []model.EndpointID {
	ids := make([]model.EndpointID, 0, len(endpoints))
	for id := range endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// random returns a number below n.
func random(n int) int { return rand.IntN(n) }
