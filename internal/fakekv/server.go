package fakekv

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"peridotgw.example/peridotgw/internal/store"
)

// Server keeps all keys in memory; it may be used concurrently.
type Server struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]*lease
	nextID   store.LeaseID
	deleted  []deletion
	// compacted is the revision up to which deletions are no longer known.
	compacted store.Revision
	changed   chan struct{}
	faults    Faults
	stale     map[string]store.Entry
	staleRev  store.Revision
	calls     map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type deletion struct {
	key      string
	revision store.Revision
}

// maxDeletions bounds the deletions that watches can still learn of.
const maxDeletions = 10000

// New returns an empty server.
func New() *Server {
	return &Server{
		entries: map[string]store.Entry{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// ServeHTTP answers the interface of the service and, under /faults, the switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	loseAnswer, ok := s.inject(w, r)
	if !ok {
		return
	}
	if loseAnswer {
		s.route(discard{header: http.Header{}}, r)
		// The connection breaks without an answer, after the change was applied.
		panic(http.ErrAbortHandler)
	}
	s.route(w, r)
}

// Calls returns the number of calls by method and first path element, such as "PUT kv".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, count := range s.calls {
		calls[name] = count
	}
	return calls
}

func (s *Server) route(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/v1")
	switch {
	case path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.key(w, r, strings.TrimPrefix(path, "/kv"))
	case path == "/watch":
		s.watch(w, r)
	case path == "/leases" || strings.HasPrefix(path, "/leases/"):
		s.lease(w, r, strings.Trim(strings.TrimPrefix(path, "/leases"), "/"))
	default:
		http.Error(w, "path does not exist", http.StatusBadRequest)
	}
}

func (s *Server) key(w http.ResponseWriter, r *http.Request, key string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(body) > store.MaxValueBytes {
		http.Error(w, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	want := store.Version(number(r, "version"))
	switch r.Method {
	case http.MethodGet:
		s.get(w, key, store.Revision(number(r, "min-revision")))
	case http.MethodPut:
		s.put(w, store.Entry{Key: key, Value: body, Version: want, Lease: store.LeaseID(number(r, "lease"))})
	case http.MethodDelete:
		s.remove(w, key, want)
	default:
		http.Error(w, "method is not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) get(w http.ResponseWriter, key string, minRevision store.Revision) {
	entries, revision := s.entries, s.revision
	if s.stale != nil && s.staleRev >= minRevision {
		entries, revision = s.stale, s.staleRev
	}
	entry, found := entries[key]
	entry.Key, entry.Revision = key, revision
	answer(w, status(found, http.StatusNotFound), entry)
}

func (s *Server) put(w http.ResponseWriter, entry store.Entry) {
	current := s.entries[entry.Key]
	current.Key = entry.Key
	if current.Version != entry.Version {
		current.Revision = s.revision
		answer(w, http.StatusConflict, current)
		return
	}
	if _, found := s.leases[entry.Lease]; entry.Lease != 0 && !found {
		answer(w, http.StatusNotFound, store.Entry{Key: entry.Key, Revision: s.revision})
		return
	}
	s.revision++
	entry.Version++
	entry.Modified, entry.Revision = s.revision, s.revision
	s.entries[entry.Key] = entry
	s.notify()
	entry.Value = nil
	answer(w, http.StatusOK, entry)
}

func (s *Server) remove(w http.ResponseWriter, key string, want store.Version) {
	current, found := s.entries[key]
	current.Key, current.Revision = key, s.revision
	switch {
	case !found:
		answer(w, http.StatusNotFound, current)
	case current.Version != want:
		answer(w, http.StatusConflict, current)
	default:
		s.drop(key)
		s.notify()
		answer(w, http.StatusOK, store.Entry{Key: key, Revision: s.revision})
	}
}

func (s *Server) drop(key string) {
	s.revision++
	delete(s.entries, key)
	s.deleted = append(s.deleted, deletion{key: key, revision: s.revision})
	if excess := len(s.deleted) - maxDeletions; excess > 0 {
		s.compacted = s.deleted[excess-1].revision
		s.deleted = slices.Delete(s.deleted, 0, excess)
	}
}

// Compact forgets all deletions so far, so that watches from an earlier revision have to list again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted, s.compacted = nil, s.revision
	s.notify()
}

// Revision returns the number of changes so far.
func (s *Server) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	entries, revision := s.entries, s.revision
	if s.stale != nil {
		entries, revision = s.stale, s.staleRev
	}
	answer(w, http.StatusOK, collect(entries, revision, r.URL.Query().Get("prefix"), 0))
}

// changes returns the entries and deletions under prefix after a revision.
func (s *Server) changes(prefix string, after store.Revision) store.Listing {
	listing := collect(s.entries, s.revision, prefix, after)
	if after == 0 {
		return listing
	}
	for _, gone := range s.deleted {
		if _, exists := s.entries[gone.key]; strings.HasPrefix(gone.key, prefix) && gone.revision > after && !exists {
			listing.Deleted = append(listing.Deleted, gone.key)
		}
	}
	listing.Compacted = after < s.compacted
	return listing
}

// collect returns the entries under prefix that were written after a revision.
func collect(entries map[string]store.Entry, revision store.Revision, prefix string, after store.Revision) store.Listing {
	listing := store.Listing{Entries: []store.Entry{}, Revision: revision}
	for key, entry := range entries {
		if strings.HasPrefix(key, prefix) && entry.Modified > after {
			entry.Revision = revision
			listing.Entries = append(listing.Entries, entry)
		}
	}
	slices.SortFunc(listing.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after := store.Revision(number(r, "after"))
	timer := time.NewTimer(time.Duration(number(r, "wait-ms")) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		next := s.expire()
		listing := s.changes(prefix, after)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		if faults.down(r) {
			// An outage ends the watches that wait.
			http.Error(w, "service is unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(listing.Entries)+len(listing.Deleted) > 0 || listing.Compacted {
			answer(w, http.StatusOK, listing)
			return
		}
		expiry := time.NewTimer(next)
		select {
		case <-changed:
		case <-expiry.C:
		case <-timer.C:
			expiry.Stop()
			answer(w, http.StatusOK, listing)
			return
		case <-r.Context().Done():
			expiry.Stop()
			return
		}
		expiry.Stop()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // The client has gone.
	}
}

func status(found bool, otherwise int) int {
	if found {
		return http.StatusOK
	}
	return otherwise
}

func number(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
