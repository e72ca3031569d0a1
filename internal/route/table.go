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
	// DefaultSlots applies until the VM list or an answer states the slots of an endpoint.
	DefaultSlots model.SlotCount = 8
	// ConnsPerEndpoint is the most connections to one endpoint from all instances together.
	ConnsPerEndpoint = 60
	// The connection budget of an instance for one endpoint is its own slots plus extraConns, at most its share of
	// ConnsPerEndpoint, which is 6 with nine instances and never below minConns.
	minConns   = 6
	extraConns = 2
	// maxReportAge is the age up to which a report of free slots is used to borrow.
	maxReportAge = time.Second
	// ignorePeersFor is how long leaving marks from peers are ignored after the incarnation of an endpoint changed, as peers may not
	// have noticed the change yet.
	ignorePeersFor = 30 * time.Second
	// removeUnlistedAfter is the time after which an endpoint that the VM list no longer names is removed.
	removeUnlistedAfter = 10 * time.Minute
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
	// Members returns the live instances that slots are assigned to, including Self; nil means Self only.
	Members    func() []model.InstanceID
	Self       model.InstanceID
	DataCentre model.DataCentreID
	// Do sends a health probe; nil means a transport that opens a new connection for each probe.
	Do func(*http.Request) (*http.Response, error)
	// SelectEndpoint, when set, replaces slot shares and selection: it gets all usable endpoints with a free slot and returns the
	// index of one. It is called with the table locked. Benchmarks use it to compare other rules.
	SelectEndpoint func([]Candidate) int
	// SkipProbe makes new endpoints usable without a probe; tests and benchmarks without health probes set it.
	SkipProbe bool
	// ExcludeLeaving is whether leaving endpoints are excluded from selection; nil means yes. Tests switch it off.
	ExcludeLeaving func() bool
	// OnSlotFree is called without locks held whenever a slot may have become free.
	OnSlotFree func()

	// mu guards all fields below and all endpoints.
	mu        sync.Mutex
	endpoints map[model.EndpointID]*endpoint
	// dcGroups lists the group of the instance's data centre first.
	dcGroups []*dcGroup
	// members are the instances of the current slot assignment.
	members []model.InstanceID
	// joined is set once Self was a live member.
	joined bool
	// pendingMarks holds the leaving marks of operators for endpoints that the VM list has not named yet.
	pendingMarks map[model.EndpointID]string
	// revision is the configuration revision of outOfService.
	revision     model.Revision
	outOfService map[model.DataCentreID]bool
	// waiters are served in order of arrival.
	waiters []*waiter
	// connLimit is the most connections of this instance to one endpoint.
	connLimit int
	counters  counters
}

// dcGroup holds the endpoints of one data centre; it is guarded by the table's lock.
type dcGroup struct {
	id  model.DataCentreID
	all []*endpoint
	// free holds the endpoints with a free own slot, in any order.
	free []*endpoint
	// usable is the number of usable endpoints, and slots the sum of their own slots, each counted up to connLimit.
	usable, slots int
}

// Update applies a new VM list; entries that are not endpoints are ignored. The list never clears the mark of a leaving endpoint
// unless its incarnation changes.
func (t *Table) Update(vms []vmlist.VM) {
	t.mu.Lock()
	t.initialize()
	// rebuild creates the groups anew, as an endpoint may have moved to another data centre.
	t.dcGroups = nil
	for _, e := range t.endpoints {
		e.freeIndex, e.countedSlots = -1, -1
	}
	listed := make(map[model.EndpointID]bool, len(vms))
	for _, vm := range vms {
		if vm.Kind == vmlist.KindEndpoint {
			listed[model.EndpointID(vm.Name)] = true
			t.updateEndpoint(vm)
		}
	}
	now := time.Now()
	for id, e := range t.endpoints {
		switch {
		case listed[id]:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) > removeUnlistedAfter && e.inFlight == 0:
			delete(t.endpoints, id)
		}
	}
	t.rebuild()
	t.mu.Unlock()
	t.notifyFree()
}

func (t *Table) updateEndpoint(vm vmlist.VM) {
	id := model.EndpointID(vm.Name)
	e, known := t.endpoints[id]
	if !known {
		e = &endpoint{id: id, slots: DefaultSlots, verified: t.SkipProbe, incarnation: vm.Incarnation, pastIncarnations: map[model.Incarnation]bool{}, freeIndex: -1, countedSlots: -1}
		t.endpoints[id] = e
		if source, marked := t.pendingMarks[id]; marked {
			delete(t.pendingMarks, id)
			t.markLeaving(e, source)
		}
	}
	if e.pastIncarnations[vm.Incarnation] {
		return // The list still shows a replaced process.
	}
	e.dataCentre = vm.DataCentre
	if e.address != vm.Address {
		e.address = vm.Address
		e.verified = t.SkipProbe
	}
	t.setIncarnation(e, vm.Incarnation)
	if vm.Slots > 0 && !e.slotsReported {
		e.slots = vm.Slots
	}
	if vm.State == vmlist.StateLeaving {
		t.markLeaving(e, SourceVMList)
	}
}

// setIncarnation resets the state that belongs to the previous process of an endpoint when its incarnation changes.
func (t *Table) setIncarnation(e *endpoint, incarnation model.Incarnation) {
	if incarnation == "" || incarnation == e.incarnation || e.pastIncarnations[incarnation] {
		return
	}
	if e.incarnation != "" {
		e.pastIncarnations[e.incarnation] = true
		e.restartedAt = time.Now()
		e.leaving, e.slotsReported, e.consecutiveFailures, e.ejected = "", false, 0, false
		e.verified = t.SkipProbe
		t.Log.Info().Str("endpoint", string(e.id)).Str("incarnation", string(incarnation)).Msg("route: endpoint restarted")
	}
	e.incarnation = incarnation
}

// SetLeaving marks endpoints as leaving until their incarnation changes. Marks from peers are ignored for ignorePeersFor after a
// change of incarnation, because the peers may still refer to the previous process.
func (t *Table) SetLeaving(ids []model.EndpointID, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	now := time.Now()
	for _, id := range ids {
		e, known := t.endpoints[id]
		if !known && source == SourceOperator {
			t.pendingMarks[id] = source
		}
		if !known || (strings.HasPrefix(source, SourcePeer) && !e.restartedAt.IsZero() && now.Sub(e.restartedAt) < ignorePeersFor) {
			continue
		}
		t.markLeaving(e, source)
	}
}

func (t *Table) markLeaving(e *endpoint, source string) {
	if e.leaving != "" {
		return
	}
	e.leaving = source
	t.increment(t.counters.leaving, source)
	t.updateGroup(e)
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

// Slots returns the number of own slots on usable endpoints of the allowed data centres; none named means all.
func (t *Table) Slots(allowed []model.DataCentreID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, group := range t.dcGroups {
		if permitted(allowed, group.id) {
			slots += group.slots
		}
	}
	return slots
}

// UsableEndpoints returns the number of endpoints of the allowed data centres that may get work; none named means all.
func (t *Table) UsableEndpoints(allowed []model.DataCentreID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, group := range t.dcGroups {
		if permitted(allowed, group.id) {
			count += group.usable
		}
	}
	return count
}

// Refresh applies changes of the live members and of the configuration.
func (t *Table) Refresh() {
	t.mu.Lock()
	t.initialize()
	changed := t.rebuildIfChanged()
	t.mu.Unlock()
	if changed {
		t.notifyFree()
	}
}

func (t *Table) initialize() {
	if t.endpoints != nil {
		return
	}
	t.endpoints, t.pendingMarks = map[model.EndpointID]*endpoint{}, map[model.EndpointID]string{}
	t.connLimit = ConnsPerEndpoint
	t.counters = newCounters(t.Metrics)
}

// rebuildIfChanged rebuilds the groups when the members or the configuration have changed, and reports whether it did.
func (t *Table) rebuildIfChanged() bool {
	members := t.liveMembers()
	changed := !slices.Equal(members, t.members)
	if t.Current != nil {
		if set := t.Current(); set != nil && set.Revision != t.revision {
			changed = true
		}
	}
	if changed {
		t.rebuild()
	}
	return changed
}

// liveMembers returns the members that slots are assigned to. A draining instance is no longer live for the others, but it keeps
// its own slots: without them it could not serve requests that arrive until the balancer notices. Endpoints refuse requests
// beyond their slots meanwhile, and these are retried elsewhere.
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

// rebuild recomputes the slot assignment, the data centres out of service and the groups of endpoints.
func (t *Table) rebuild() {
	t.members = slices.Clone(t.liveMembers())
	t.connLimit = max(minConns, ConnsPerEndpoint/max(1, len(t.members)))
	t.outOfService = map[model.DataCentreID]bool{}
	if t.Current != nil {
		if set := t.Current(); set != nil {
			t.revision = set.Revision
			for id, dc := range set.DataCentres {
				t.outOfService[id] = dc.Service == model.ServiceOut
			}
		}
	}
	t.dcGroups = nil
	for _, id := range sortedIDs(t.endpoints) {
		e := t.endpoints[id]
		e.ownSlots = assignedSlots(t.members, t.Self, e.id, e.slots)
		e.freeIndex, e.countedSlots = -1, -1
		group := t.dcGroup(e.dataCentre)
		group.all = append(group.all, e)
		t.updateGroup(e)
	}
}

// dcGroup returns the group of a data centre and creates it if needed; that of the instance's data centre comes first.
func (t *Table) dcGroup(id model.DataCentreID) *dcGroup {
	for _, group := range t.dcGroups {
		if group.id == id {
			return group
		}
	}
	group := &dcGroup{id: id}
	if id == t.DataCentre {
		t.dcGroups = slices.Insert(t.dcGroups, 0, group)
	} else {
		t.dcGroups = append(t.dcGroups, group)
	}
	return group
}

// updateGroup updates the sums and the free list of an endpoint's group after a change of the endpoint.
func (t *Table) updateGroup(e *endpoint) {
	usable := t.usable(e)
	t.updateSums(e, usable)
	free := usable && e.ownInFlight < e.ownSlots && e.inFlight < e.connBudget(t.connLimit)
	if free == (e.freeIndex >= 0) {
		return
	}
	group := t.dcGroup(e.dataCentre)
	if free {
		e.freeIndex = len(group.free)
		group.free = append(group.free, e)
		return
	}
	last := group.free[len(group.free)-1]
	group.free[e.freeIndex] = last
	last.freeIndex = e.freeIndex
	group.free = group.free[:len(group.free)-1]
	e.freeIndex = -1
}

// updateSums updates the sums of an endpoint's group.
func (t *Table) updateSums(e *endpoint, usable bool) {
	countedSlots := -1
	if usable {
		countedSlots = min(e.ownSlots, t.connLimit)
	}
	if countedSlots == e.countedSlots {
		return
	}
	group := t.dcGroup(e.dataCentre)
	if e.countedSlots >= 0 {
		group.usable--
		group.slots -= e.countedSlots
	}
	if usable {
		group.usable++
		group.slots += countedSlots
	}
	e.countedSlots = countedSlots
}

// usable reports whether an endpoint may get work.
func (t *Table) usable(e *endpoint) bool {
	if e.leaving != "" && (t.ExcludeLeaving == nil || t.ExcludeLeaving()) {
		return false
	}
	return e.verified && !e.ejected && e.unlistedSince.IsZero() && !t.outOfService[e.dataCentre]
}

// permitted reports whether allowed names the data centre; none named means all.
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

// random returns a number in [0, n).
func random(n int) int { return rand.IntN(n) }
