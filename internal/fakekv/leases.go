package fakekv

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/store"
)

// maxExpiryWait is the longest time until a watch checks the leases for expiry again.
const maxExpiryWait = time.Second

// serveLease grants, renews or ends a lease.
func (s *Server) serveLease(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if id == "" {
		s.grantLease(w, r)
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
		writeJSON(w, http.StatusNotFound, store.Entry{Revision: s.revision})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(leaseID)
		s.notifyWatches()
		writeJSON(w, http.StatusOK, store.Lease{ID: leaseID, Revision: s.revision})
		return
	}
	held.expires = time.Now().Add(held.ttl)
	writeJSON(w, http.StatusOK, store.Lease{ID: leaseID, TTLMs: held.ttl.Milliseconds(), Revision: s.revision})
}

// grantLease answers with a new lease; the caller holds s.mu.
func (s *Server) grantLease(w http.ResponseWriter, r *http.Request) {
	var requested store.Lease
	if err := json.NewDecoder(r.Body).Decode(&requested); err != nil || requested.TTLMs <= 0 {
		http.Error(w, "ttl-ms is missing or not positive", http.StatusBadRequest)
		return
	}
	s.nextID++
	ttl := time.Duration(requested.TTLMs) * time.Millisecond
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, store.Lease{ID: s.nextID, TTLMs: requested.TTLMs, Revision: s.revision})
}

// expireLeases ends the leases whose TTL has passed and returns the time until the next expiry, at most maxExpiryWait. The
// caller holds s.mu.
func (s *Server) expireLeases() time.Duration {
	now := time.Now()
	untilNext := maxExpiryWait
	ended := false
	for id, held := range s.leases {
		left := held.expires.Sub(now)
		if left <= 0 {
			s.endLease(id)
			ended = true
			continue
		}
		untilNext = min(untilNext, left)
	}
	if ended {
		s.notifyWatches()
	}
	return untilNext
}

// endLease removes a lease and the keys attached to it; the caller holds s.mu.
func (s *Server) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id {
			s.deleteKey(key)
		}
	}
}
