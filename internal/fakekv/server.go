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

// Server keeps all keys in memory. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]*lease
	nextID   store.LeaseID
	// deleted holds the latest deletions, oldest first, for watches.
	deleted []deletion
	// compacted is the revision up to which deletions have been dropped.
	compacted store.Revision
	// changed is closed and replaced at each change, which wakes the watches.
	changed chan struct{}
	faults  Faults
	// staleEntries is the snapshot that stale reads are answered from, as of staleRevision; nil without stale reads.
	staleEntries  map[string]store.Entry
	staleRevision store.Revision
	// calls counts calls by method and path group, such as "PUT kv".
	calls map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type deletion struct {
	key      string
	revision store.Revision
}

// maxDeletions bounds the deletions kept for watches; a watch from an earlier revision must list again.
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

// ServeHTTP serves the key-value API and, under /faults, the fault switches.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	loseAnswer, ok := s.injectFaults(w, r)
	if !ok {
		return
	}
	if loseAnswer {
		s.routeRequest(discardWriter{header: http.Header{}}, r)
		// The change has been applied; break the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	s.routeRequest(w, r)
}

// Calls returns the number of calls by method and path group, such as "PUT kv".
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for name, count := range s.calls {
		calls[name] = count
	}
	return calls
}

func (s *Server) routeRequest(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/v1")
	switch {
	case path == "/kv":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.key(w, r, strings.TrimPrefix(path, "/kv"))
	case path == "/watch":
		s.serveWatch(w, r)
	case path == "/leases" || strings.HasPrefix(path, "/leases/"):
		s.serveLease(w, r, strings.Trim(strings.TrimPrefix(path, "/leases"), "/"))
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
	s.expireLeases()
	want := store.Version(queryUint(r, "version"))
	switch r.Method {
	case http.MethodGet:
		s.getEntry(w, key, store.Revision(queryUint(r, "min-revision")))
	case http.MethodPut:
		s.putEntry(w, store.Entry{Key: key, Value: body, Version: want, Lease: store.LeaseID(queryUint(r, "lease"))})
	case http.MethodDelete:
		s.deleteEntry(w, key, want)
	default:
		http.Error(w, "method is not allowed", http.StatusMethodNotAllowed)
	}
}

// getEntry answers a read, from the snapshot of stale reads if its revision is at least minRevision.
func (s *Server) getEntry(w http.ResponseWriter, key string, minRevision store.Revision) {
	entries, revision := s.entries, s.revision
	if s.staleEntries != nil && s.staleRevision >= minRevision {
		entries, revision = s.staleEntries, s.staleRevision
	}
	entry, found := entries[key]
	entry.Key, entry.Revision = key, revision
	writeJSON(w, statusIfFound(found, http.StatusNotFound), entry)
}

// putEntry writes entry if the stored version equals entry.Version; 0 means that the key must not exist.
func (s *Server) putEntry(w http.ResponseWriter, entry store.Entry) {
	current := s.entries[entry.Key]
	current.Key = entry.Key
	if current.Version != entry.Version {
		current.Revision = s.revision
		writeJSON(w, http.StatusConflict, current)
		return
	}
	if _, found := s.leases[entry.Lease]; entry.Lease != 0 && !found {
		writeJSON(w, http.StatusNotFound, store.Entry{Key: entry.Key, Revision: s.revision})
		return
	}
	s.revision++
	entry.Version++
	entry.Modified, entry.Revision = s.revision, s.revision
	s.entries[entry.Key] = entry
	s.notifyWatches()
	entry.Value = nil
	writeJSON(w, http.StatusOK, entry)
}

// deleteEntry deletes a key if its stored version equals want.
func (s *Server) deleteEntry(w http.ResponseWriter, key string, want store.Version) {
	current, found := s.entries[key]
	current.Key, current.Revision = key, s.revision
	switch {
	case !found:
		writeJSON(w, http.StatusNotFound, current)
	case current.Version != want:
		writeJSON(w, http.StatusConflict, current)
	default:
		s.deleteKey(key)
		s.notifyWatches()
		writeJSON(w, http.StatusOK, store.Entry{Key: key, Revision: s.revision})
	}
}

// deleteKey removes a key and records the deletion; the caller holds s.mu.
func (s *Server) deleteKey(key string) {
	s.revision++
	delete(s.entries, key)
	s.deleted = append(s.deleted, deletion{key: key, revision: s.revision})
	if excess := len(s.deleted) - maxDeletions; excess > 0 {
		s.compacted = s.deleted[excess-1].revision
		s.deleted = slices.Delete(s.deleted, 0, excess)
	}
}

// Compact drops all recorded deletions, so that watches from an earlier revision must list again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleted, s.compacted = nil, s.revision
	s.notifyWatches()
}

// Revision returns the current revision, which is the number of changes.
func (s *Server) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// notifyWatches wakes all waiting watches; the caller holds s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	entries, revision := s.entries, s.revision
	if s.staleEntries != nil {
		entries, revision = s.staleEntries, s.staleRevision
	}
	writeJSON(w, http.StatusOK, entriesAfter(entries, revision, r.URL.Query().Get("prefix"), 0))
}

// changesAfter returns the entries and deletions under prefix that are newer than after; the caller holds s.mu.
func (s *Server) changesAfter(prefix string, after store.Revision) store.Listing {
	listing := entriesAfter(s.entries, s.revision, prefix, after)
	if after == 0 {
		return listing
	}
	for _, removed := range s.deleted {
		if _, exists := s.entries[removed.key]; strings.HasPrefix(removed.key, prefix) && removed.revision > after && !exists {
			listing.Deleted = append(listing.Deleted, removed.key)
		}
	}
	listing.Compacted = after < s.compacted
	return listing
}

// entriesAfter returns the entries under prefix that were modified after a revision, ordered by key.
func entriesAfter(entries map[string]store.Entry, revision store.Revision, prefix string, after store.Revision) store.Listing {
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

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after := store.Revision(queryUint(r, "after"))
	timer := time.NewTimer(time.Duration(queryUint(r, "wait-ms")) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		untilExpiry := s.expireLeases()
		listing := s.changesAfter(prefix, after)
		changed, faults := s.changed, s.faults
		s.mu.Unlock()
		if faults.down(r) {
			// An outage also ends watches that are waiting.
			http.Error(w, "service is unavailable", http.StatusServiceUnavailable)
			return
		}
		if len(listing.Entries)+len(listing.Deleted) > 0 || listing.Compacted {
			writeJSON(w, http.StatusOK, listing)
			return
		}
		expiry := time.NewTimer(untilExpiry)
		select {
		case <-changed:
		case <-expiry.C:
		case <-timer.C:
			expiry.Stop()
			writeJSON(w, http.StatusOK, listing)
			return
		case <-r.Context().Done():
			expiry.Stop()
			return
		}
		expiry.Stop()
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return // The client has disconnected.
	}
}

func statusIfFound(found bool, otherwise int) int {
	if found {
		return http.StatusOK
	}
	return otherwise
}

// queryUint returns a query parameter as a number, 0 when it is missing or malformed.
func queryUint(r *http.Request, name string) uint64 {
	value, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}
