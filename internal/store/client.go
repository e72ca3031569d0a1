package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/metric"
)

// Version counts the writes of one key; 0 means that the key does not exist.
type Version uint64

// Revision counts all changes of the service; every answer carries it.
type Revision uint64

// LeaseID identifies a lease; 0 means none.
type LeaseID uint64

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Entry is one key with its value.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// Modified is the service revision of the last write of the key.
	Modified Revision `json:"modified"`
	Lease    LeaseID  `json:"lease,omitempty"`
	// Revision is the service revision at the time of the answer.
	Revision Revision `json:"revision"`
}

// Listing is the answer of List and Watch.
type Listing struct {
	Entries []Entry `json:"entries"`
	// Deleted names the keys that were deleted since the watched revision.
	Deleted  []string `json:"deleted,omitempty"`
	Revision Revision `json:"revision"`
	// Compacted is true when the service no longer has the changes that a watch asked for; the caller must list again.
	Compacted bool `json:"compacted,omitempty"`
}

// Lease is the answer of Grant and KeepAlive. TTLMs is the time to live in milliseconds.
type Lease struct {
	ID       LeaseID  `json:"id"`
	TTLMs    int64    `json:"ttl-ms"`
	Revision Revision `json:"revision"`
}

// Client calls the service; it may be used concurrently. Calls without a usable answer return UnavailableError.
type Client struct {
	// BaseURL is the address of the service, such as "http://127.0.0.1:2379".
	BaseURL string
	// Role labels the calls in the metrics.
	Role string
	// Timeout bounds each call; a watch may take its wait longer. Zero means DefaultTimeout.
	Timeout time.Duration
	Metrics *metric.Set
	// Do sends a request; tests replace it to reach a fake without a network.
	Do func(*http.Request) (*http.Response, error)
	// Breaker stops calls while the service is unavailable; nil sends all.
	Breaker *Breaker
	// Instance is sent with each call in InstanceHeader; empty sends no header.
	Instance string
	// MayHaveApplied decides whether a call without a usable answer may have been applied, from whether it was sent and from the HTTP
	// status, which is 0 without an answer; nil means the rules of UnavailableError. Tests replace it.
	MayHaveApplied func(sent bool, status int) bool
}

// Defaults of the client.
const (
	DefaultTimeout = 2 * time.Second
	// maxConns bounds the connections of one instance, so that calls to a slow service do not open thousands of them.
	maxConns = 64
)

// New returns a client with its own connections, and a function that closes the idle ones.
func New(baseURL string, metrics *metric.Set) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, MaxConnsPerHost: maxConns, IdleConnTimeout: 30 * time.Second}
	client := &http.Client{Transport: transport}
	return &Client{
		BaseURL: strings.TrimRight(baseURL, "/"), Role: "other", Timeout: DefaultTimeout, Metrics: metrics, Do: client.Do,
		Breaker: &Breaker{},
	}, transport.CloseIdleConnections
}

// WithRole returns a client that shares the connections and the breaker of c and counts its calls under role.
func (c *Client) WithRole(role string) *Client {
	clone := *c
	clone.Role = role
	return &clone
}

// Get reads a key; minRevision 0 accepts any age. It returns NotFoundError, StaleError or UnavailableError.
func (c *Client) Get(ctx context.Context, key string, minRevision Revision) (Entry, error) {
	query := url.Values{}
	if minRevision > 0 {
		query.Set("min-revision", strconv.FormatUint(uint64(minRevision), 10))
	}
	var entry Entry
	err := c.call(ctx, request{op: "get", key: key, method: http.MethodGet, path: keyPath(key), query: query, timeout: c.timeout()}, &entry)
	if err != nil {
		return Entry{}, err
	}
	if entry.Revision < minRevision {
		return Entry{}, &StaleError{Key: key, Got: entry.Revision, Want: minRevision}
	}
	return entry, nil
}

// List reads all keys with a prefix in key order. It accepts any age; the caller compares the revision of the listing.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	query := url.Values{"prefix": {prefix}}
	err := c.call(ctx, request{op: "list", key: prefix, method: http.MethodGet, path: "/v1/kv", query: query, timeout: c.timeout()}, &listing)
	return listing, err
}

// Put writes a key if its version is still version; 0 creates it. A lease other than 0 attaches the key to that lease. Put returns
// ConflictError, UnavailableError, or NotFoundError for a lease that does not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, version Version, lease LeaseID) (Entry, error) {
	query := url.Values{"version": {strconv.FormatUint(uint64(version), 10)}}
	if lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	var entry Entry
	err := c.call(ctx, request{
		op: "put", key: key, method: http.MethodPut, path: keyPath(key), query: query, body: value, timeout: c.timeout(), version: version,
	}, &entry)
	return entry, err
}

// Delete removes a key if its version is still version. It returns ConflictError, NotFoundError or UnavailableError.
func (c *Client) Delete(ctx context.Context, key string, version Version) error {
	query := url.Values{"version": {strconv.FormatUint(uint64(version), 10)}}
	return c.call(ctx, request{
		op: "delete", key: key, method: http.MethodDelete, path: keyPath(key), query: query, timeout: c.timeout(), version: version,
	}, nil)
}

// Grant creates a lease; the service deletes all keys attached to it when it expires.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(Lease{TTLMs: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, eris.Wrap(err, "encoding lease")
	}
	var lease Lease
	err = c.call(ctx, request{op: "grant", method: http.MethodPost, path: "/v1/leases", body: body, timeout: c.timeout()}, &lease)
	return lease, err
}

// KeepAlive renews a lease for its whole time to live. It returns NotFoundError when the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (Lease, error) {
	var lease Lease
	err := c.call(ctx, request{op: "keep-alive", method: http.MethodPost, path: leasePath(id), timeout: c.timeout()}, &lease)
	return lease, err
}

// Revoke ends a lease at once and deletes the keys attached to it. It returns NotFoundError when the lease has expired.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.call(ctx, request{op: "revoke", method: http.MethodDelete, path: leasePath(id), timeout: c.timeout()}, nil)
}

// Watch waits up to wait for changes of keys with prefix after a revision; without a change the listing is empty. A watch can miss
// changes; Follow also lists.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var listing Listing
	err := c.call(ctx, request{
		op: "watch", key: prefix, method: http.MethodGet, path: "/v1/watch", query: query, timeout: wait + c.timeout(),
	}, &listing)
	return listing, err
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}
