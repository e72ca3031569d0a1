package work

import (
	"strings"
	"time"

	"peridotgw.example/peridotgw/model"
)

// ConfigVersion numbers the operators' configurations; it rises, but not by one each time.
type ConfigVersion int64

// Queue accepts jobs of one kind; a call is routed to it by host and path prefix.
type Queue struct {
	Name   QueueName
	Host   string // without a port
	Prefix string // of the URL path
	Pool   PoolName
	Terms
	Anonymous bool // calls need no key
	Advised   bool // the advice service decides which workers may run a step
	Advice    AdviceTiming
}

// AdviceTiming is what operators say of the calls to the advice service for a queue; a part that is 0 is not known.
type AdviceTiming struct {
	Decision  time.Duration // of a call
	PerWorker time.Duration // of a call, for each worker that it names
	Valid     time.Duration // how long tickets are valid
}

// Tenant is a customer with its API keys, its guaranteed capacity and its limits.
type Tenant struct {
	Name       model.CustomerID
	Keys       []string
	Guaranteed model.Accelerators
	Weight     float64   // its share when all is full; 0 if none is set
	Cap        Resources // most that it may have running on all workers; a part that is 0 has no limit
}

// Config is the operators' configuration.
type Config struct {
	Version      ConfigVersion
	Queues       []Queue
	Tenants      map[model.CustomerID]Tenant
	MaxBodyBytes int64 // of a submission; 0 for the default
	Pools        []PoolName

	queuesByName map[QueueName]*Queue
	tenantsByKey map[string]model.CustomerID
}

// Index builds the lookup tables. Call it once, before other goroutines use the configuration.
func (c *Config) Index() {
	c.queuesByName = make(map[QueueName]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.queuesByName[c.Queues[i].Name] = &c.Queues[i]
	}
	c.tenantsByKey = map[string]model.CustomerID{}
	for name := range c.Tenants {
		for _, key := range c.Tenants[name].Keys {
			c.tenantsByKey[key] = name
		}
	}
}

// Queue returns the queue with a name, or nil.
func (c *Config) Queue(name QueueName) *Queue { return c.queuesByName[name] }

// Advised reports whether the advice service decides which workers may run the jobs of a queue; c may be nil.
func (c *Config) Advised(name QueueName) bool {
	if c == nil {
		return false
	}
	queue := c.queuesByName[name]
	return queue != nil && queue.Advised
}

// Terms returns the terms that apply to a job: those of its queue, or those at its acceptance when the queue is not known, such
// as before the first configuration is read. c may be nil.
func (c *Config) Terms(j *Job) Terms {
	if c != nil {
		if queue := c.queuesByName[j.Queue]; queue != nil {
			return queue.Terms
		}
	}
	return j.Terms
}

// Match returns the queue of host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Queue {
	var longest *Queue
	for i := range c.Queues {
		queue := &c.Queues[i]
		if queue.Host == host && strings.HasPrefix(path, queue.Prefix) && (longest == nil || len(queue.Prefix) > len(longest.Prefix)) {
			longest = queue
		}
	}
	return longest
}

// TenantOf returns the tenant that owns an API key.
func (c *Config) TenantOf(key string) (model.CustomerID, bool) {
	tenant, found := c.tenantsByKey[key]
	return tenant, found
}
