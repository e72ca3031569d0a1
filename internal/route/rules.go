package route

import (
	"math"
	"slices"
	"sync"
	"time"

	"peridotgw.example/peridotgw/model"
)

// Candidate is a usable endpoint as a selection rule gets it. InFlight counts the requests of this instance, and Latency is smoothed.
type Candidate struct {
	Endpoint model.EndpointID
	InFlight int
	Slots    model.SlotCount
	Latency  time.Duration
}

// acquireByRule takes a slot on the endpoint that SelectEndpoint returns, or returns nil when none is free.
func (t *Table) acquireByRule(request SlotRequest, now time.Time) *Slot {
	var candidates []Candidate
	var endpoints []*endpoint
	for _, group := range t.dcGroups {
		if !permitted(request.DataCentres, group.id) {
			continue
		}
		for _, e := range group.all {
			if !t.usable(e) || e.inFlight >= min(int(e.slots), t.connLimit) || slices.Contains(request.Avoid, e.id) {
				continue
			}
			candidates = append(candidates, Candidate{Endpoint: e.id, InFlight: e.inFlight, Slots: e.slots, Latency: e.latency})
			endpoints = append(endpoints, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return t.holdSlot(endpoints[t.SelectEndpoint(candidates)], true, now)
}

// Random chooses any candidate.
func Random(candidates []Candidate) int { return random(len(candidates)) }

// LeastOutstanding chooses the candidate with the fewest requests of this instance in flight.
func LeastOutstanding(candidates []Candidate) int {
	start := random(len(candidates))
	best, fewest := 0, math.MaxInt
	for i := range candidates {
		j := (start + i) % len(candidates)
		if candidates[j].InFlight < fewest {
			best, fewest = j, candidates[j].InFlight
		}
	}
	return best
}

// WeightedRoundRobin returns a rule that chooses candidates in turn, in proportion to their slots.
func WeightedRoundRobin() func([]Candidate) int {
	var mu sync.Mutex
	credit := map[model.EndpointID]int{}
	return func(candidates []Candidate) int {
		mu.Lock()
		defer mu.Unlock()
		best, total := 0, 0
		for i, c := range candidates {
			credit[c.Endpoint] += int(c.Slots)
			total += int(c.Slots)
			if credit[c.Endpoint] > credit[candidates[best].Endpoint] {
				best = i
			}
		}
		credit[candidates[best].Endpoint] -= total
		return best
	}
}
