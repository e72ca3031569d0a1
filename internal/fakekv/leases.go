package fakekv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/store"
)

// idleExpiry is how long a watch waits for the next expiry when there is no lease.
const idleExpiry = time.Second

func (s *Server) lease(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if id == "" {
		s.grant(w, r)
		return
	}
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		http.Error(w, "lease id is not a number", http.StatusBadRequest)
		return
	}
	leaseID := store.LeaseID(number)
	held, found := s.leases[leaseID]
	if !found {
		answer(w, http.StatusNotFound, store.Entry{Revision: s.revision})
		return
	}
	if r.Method == http.MethodDelete {
		s.end(leaseID)
		s.notify()
		answer(w, http.StatusOK, store.Lease{ID: leaseID, Revision: s.revision})
		return
	}
	held.expires = time.Now().Add(held.ttl)
	answer(w, http.StatusOK, store.Lease{ID: leaseID, TTLMs: held.ttl.Milliseconds(), Revision: s.revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var wanted store.Lease
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil || wanted.TTLMs <= 0 {
		http.Error(w, "ttl-ms is missing or not positive", http.StatusBadRequest)
		return
	}
	s.nextID++
	ttl := time.Duration(wanted.TTLMs) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(w, http.StatusOK, store.Lease{ID: s.nextID, TTLMs: wanted.TTLMs, Revision: s.revision})
}

// expire ends the leases whose time is up and returns the time until the next one.
func (s *Server) expire() time.Duration {
	now := time.Now()
	next := idleExpiry
	ended := false
	for id, held := range s.leases {
		left := held.expires.Sub(now)
		if left <= 0 {
			s.end(id)
			ended = true
			continue
		}
		next = min(next, left)
	}
	if ended {
		s.notify()
	}
	return next
}

// end removes a lease and the keys attached to it.
func (s *Server) end(id store.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.drop(key)
		}
	}
}
