package work

import (
	"strings"

	"peridotgw.example/peridotgw/model"
)

// ConfigVersion numbers the operators' configurations; it rises in uneven steps.
type ConfigVersion int64

// Queue is where jobs of one kind are submitted.
type Queue struct {
	Name   QueueName
	Host   string
	Prefix string
	Pool   PoolName
	Terms
	Anonymous bool
	Advised   bool // the advice service decides which workers may run a step
}

// Tenant owns keys and a guarantee.
type Tenant struct {
	Name       model.CustomerID
	Keys       []string
	Guaranteed model.Accelerators
}

// Config is the operators' configuration.
type Config struct {
	Version      ConfigVersion
	Queues       []Queue
	Tenants      map[model.CustomerID]Tenant
	MaxBodyBytes int64

	byName map[QueueName]*Queue
	byKey  map[string]model.CustomerID
}

// Index prepares the look-ups; it is called once, before the configuration is shared.
func (c *Config) Index() {
	c.byName = make(map[QueueName]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
	c.byKey = map[string]model.CustomerID{}
	for name := range c.Tenants {
		for _, key := range c.Tenants[name].Keys {
			c.byKey[key] = name
		}
	}
}

// Queue returns a queue by name, or nil.
func (c *Config) Queue(name QueueName) *Queue { return c.byName[name] }

// Terms returns what is in force for a job: the terms of its queue, or those at its acceptance where the queue is not known,
// as before the first configuration is read. c may be nil.
func (c *Config) Terms(j *Job) Terms {
	if c != nil {
		if queue := c.byName[j.Queue]; queue != nil {
			return queue.Terms
		}
	}
	return j.Terms
}

// Match returns the queue of a host with the longest prefix that path begins with, or nil.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// TenantOf returns the owner of a key.
func (c *Config) TenantOf(key string) (model.CustomerID, bool) {
	tenant, found := c.byKey[key]
	return tenant, found
}
