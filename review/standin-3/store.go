package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstRevision = 100
	maxPageItems  = 500
	maxTxnEntries = 32
	maxWatchWait  = 30 * time.Second
)

// store is a stand-in of the platform's metadata store: one revision counter, conditional transactions, leases and watches. It answers at
// once and loses nothing. Methods may be called concurrently.
type store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*storeLease
	nextID   uint64
	changed  chan struct{} // closed and replaced at each change
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	At       uint64 `json:"store_revision,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{revision: firstRevision, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, nextID: 1, changed: make(chan struct{})}
}

// put writes a key as the operator or a minion does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.wake()
}

// remove removes a key, as the platform does with the entry of a minion that is silent.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.wake()
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.items[key]
	return found
}

// write sets a key at the current revision; s.mu is held.
func (s *store) write(key string, value []byte, lease uint64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

// drop removes a key at the current revision; s.mu is held.
func (s *store) drop(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	status, answer := http.StatusNotFound, any(nil)
	switch path := r.URL.Path; {
	case path == "/kv-key":
		status, answer = s.get(query.Get("key"))
	case path == "/kv-range":
		status, answer = s.list(query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		status, answer = s.watch(r, query.Get("prefix"), number(query.Get("after")), number(query.Get("wait_ms")))
	case path == "/kv-txn":
		status, answer = s.txn(body)
	case path == "/kv-lease":
		status, answer = s.grant(body)
	case strings.HasPrefix(path, "/kv-keep/"):
		status, answer = s.renew(number(strings.TrimPrefix(path, "/kv-keep/")))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		status, answer = s.end(number(strings.TrimPrefix(path, "/kv-lease-end/")))
	}
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func number(text string) uint64 {
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	if !found {
		return http.StatusNotFound, nil
	}
	item.At = s.revision
	return http.StatusOK, item
}

type storePage struct {
	Items  []storeItem `json:"items,omitempty"`
	Events []storeItem `json:"events,omitempty"`
	More   bool        `json:"has_more"`
	At     uint64      `json:"store_revision"`
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storePage{At: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	if len(page.Items) > maxPageItems {
		page.Items, page.More = page.Items[:maxPageItems], true
	}
	return http.StatusOK, page
}

func (s *store) watch(r *http.Request, prefix string, after, waitMs uint64) (int, any) {
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		page := storePage{At: s.revision}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Key, prefix) {
				page.Events = append(page.Events, event)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 {
			return http.StatusOK, page
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, page
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

type txnBody struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *store) txn(body []byte) (int, any) {
	var txn txnBody
	if err := json.Unmarshal(body, &txn); err != nil || len(txn.Expect)+len(txn.Writes)+len(txn.Remove) > maxTxnEntries {
		return http.StatusBadRequest, map[string]string{"error": "not a transaction"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, failed := storePage{At: s.revision}, false
	for _, expect := range txn.Expect {
		item, found := s.items[expect.Key]
		failed = failed || item.Revision != expect.Revision
		if found {
			conflict.Items = append(conflict.Items, item)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, conflict
	}
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.drop(key)
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

type leaseBody struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl_ms"`
}

func (s *store) grant(body []byte) (int, any) {
	var request leaseBody
	if err := json.Unmarshal(body, &request); err != nil || request.TTL <= 0 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ttl := s.nextID, time.Duration(request.TTL)*time.Millisecond
	s.nextID++
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	return http.StatusOK, leaseBody{Lease: id, TTL: request.TTL}
}

func (s *store) renew(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return http.StatusNotFound, nil
	}
	lease.timer.Reset(lease.ttl)
	return http.StatusOK, leaseBody{TTL: lease.ttl.Milliseconds()}
}

func (s *store) end(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		return http.StatusNotFound, nil
	}
	lease.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.drop(key)
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{}
}
