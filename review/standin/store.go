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
	storeLatency  = 4 * time.Millisecond
	maxPageItems  = 500
	maxTxnEntries = 32
)

// store is a stand-in of the platform's key-value store.
type store struct {
	// silent reports whether the store is down and leaves a call without an answer; such a call may be executed later by lateBy.
	silent func() bool
	// lateBy returns after what time a transaction without an answer is executed; 0 for never.
	lateBy func(txn txnBody) time.Duration
	// onTxn is called with each executed transaction; nil for none.
	onTxn func(txn txnBody, status int, late bool)

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	At       uint64 `json:"store_revision,omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

type itemList struct {
	Items  []item `json:"items,omitempty"`
	Events []item `json:"events,omitempty"`
	More   bool   `json:"has_more"`
	At     uint64 `json:"store_revision"`
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

func newStore() *store {
	return &store{
		silent: func() bool { return false }, lateBy: func(txnBody) time.Duration { return 0 },
		revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 1, changed: make(chan struct{}),
	}
}

// put writes a key as the operator or a minion does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// remove removes a key as the operator does, or as the platform removes the entry of a silent minion.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.wake()
}

func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte, leaseID uint64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, found := s.items[key]; found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) unset(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.silent() {
		s.leaveUnanswered(r, body)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(storeLatency)
	status, answer := s.serve(r, body)
	if s.silent() { // It went down while a watch was waiting.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, answer)
}

// leaveUnanswered holds a call without an answer, and executes a transaction later if lateBy says so.
func (s *store) leaveUnanswered(r *http.Request, body []byte) {
	var txn txnBody
	if r.URL.Path == "/kv-txn" && json.Unmarshal(body, &txn) == nil {
		if d := s.lateBy(txn); d > 0 {
			time.AfterFunc(d, func() { s.txn(body, true) })
		}
	}
	<-r.Context().Done()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) serve(r *http.Request, body []byte) (int, any) {
	query, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/kv-key":
		return s.get(query.Get("key"))
	case path == "/kv-range":
		return s.list(query.Get("prefix"), query.Get("after"))
	case path == "/kv-watch":
		return s.watch(r, query.Get("prefix"), number(query.Get("after")), number(query.Get("wait_ms")))
	case path == "/kv-txn":
		return s.txn(body, false)
	case path == "/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/kv-keep/"):
		return s.keep(number(strings.TrimPrefix(path, "/kv-keep/")))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		return s.end(number(strings.TrimPrefix(path, "/kv-lease-end/")))
	}
	return http.StatusNotFound, nil
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, found := s.items[key]
	if !found {
		return http.StatusNotFound, nil
	}
	it.At = s.revision
	return http.StatusOK, it
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := itemList{At: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list.Items = append(list.Items, it)
		}
	}
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Key < list.Items[j].Key })
	if len(list.Items) > maxPageItems {
		list.Items, list.More = list.Items[:maxPageItems], true
	}
	return http.StatusOK, list
}

func (s *store) watch(r *http.Request, prefix string, after, waitMs uint64) (int, any) {
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := itemList{At: s.revision}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, event := range s.history[first:] {
			if strings.HasPrefix(event.Key, prefix) {
				list.Events = append(list.Events, event)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(list.Events) > 0 {
			return http.StatusOK, list
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, list
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) txn(body []byte, late bool) (int, any) {
	var txn txnBody
	if err := json.Unmarshal(body, &txn); err != nil || len(txn.Expect)+len(txn.Writes)+len(txn.Remove) > maxTxnEntries {
		return http.StatusBadRequest, nil
	}
	status, answer := s.execute(txn)
	if s.onTxn != nil {
		s.onTxn(txn, status, late)
	}
	return status, answer
}

func (s *store) execute(txn txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := itemList{At: s.revision}
	failed := false
	for _, expect := range txn.Expect {
		it, found := s.items[expect.Key]
		failed = failed || it.Revision != expect.Revision
		if found {
			conflict.Items = append(conflict.Items, it)
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
		s.set(write.Key, write.Value, write.Lease)
	}
	for _, key := range txn.Remove {
		s.unset(key)
	}
	s.wake()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *store) grant(body []byte) (int, any) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.Unmarshal(body, &request); err != nil || request.TTL <= 0 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": request.TTL}
}

func (s *store) keep(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.timer.Reset(l.ttl)
	return http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
}

// expire ends a lease; while the store is down, leases pause.
func (s *store) expire(id uint64) {
	if s.silent() {
		s.mu.Lock()
		if l := s.leases[id]; l != nil {
			l.timer.Reset(l.ttl)
		}
		s.mu.Unlock()
		return
	}
	s.end(id)
}

func (s *store) end(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
	s.wake()
	return http.StatusOK, map[string]any{}
}
