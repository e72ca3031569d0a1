package lint

import (
	"maps"
	"slices"
	"strings"

	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Fleet is what the workers that are registered now can hold; the zero value is unknown.
type Fleet struct {
	Pools map[work.PoolName]work.Resources // sums of the workers' capacities
}

// total returns the capacity of all pools.
func (f Fleet) total() work.Resources {
	var sum work.Resources
	for _, capacity := range f.Pools {
		sum = sum.Add(capacity)
	}
	return sum
}

// Config checks the operators' configuration of the users' platform; inForce is nil if it is not known.
func Config(candidate, inForce *work.Config, fleet Fleet) []Finding {
	c := configCheck{config: candidate, fleet: fleet}
	c.queues()
	c.tenants()
	c.guarantees()
	if inForce != nil {
		c.differences(inForce)
	}
	return c.sorted()
}

// configCheck is one check of a configuration.
type configCheck struct {
	report
	config *work.Config
	fleet  Fleet
}

func (c *configCheck) queues() {
	names := map[work.QueueName]bool{}
	addresses := map[string]work.QueueName{}
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		where := entry("queue", string(q.Name))
		if q.Name == "" {
			c.add(LevelError, where, "has no name")
		}
		if names[q.Name] {
			c.add(LevelError, where, "is there twice; jobs of one would get the terms of the other")
		}
		names[q.Name] = true
		address := q.Host + q.Prefix
		if first, found := addresses[address]; found {
			c.add(LevelNever, where, "queue %q comes first with the same host and prefix %s", first, address)
		} else {
			addresses[address] = q.Name
		}
		c.queueAddress(where, q)
		c.queueTerms(where, q)
	}
	if c.config.MaxBodyBytes > 0 && c.config.MaxBodyBytes < work.MaxPayloadBytes {
		c.add(LevelContradict, "limits", "bodies of %d bytes are too small for a payload of %d, which is allowed", c.config.MaxBodyBytes, work.MaxPayloadBytes)
	}
}

func (c *configCheck) queueAddress(where string, q *work.Queue) {
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(LevelNever, where, "no path begins with the prefix %q", q.Prefix)
	}
	if q.Host == "" {
		c.add(LevelNever, where, "no call has an empty host")
	}
	if strings.Contains(q.Host, ":") {
		c.add(LevelNever, where, "calls are matched without their port, and the host is %q", q.Host)
	}
	if len(c.config.Pools) > 0 && !slices.Contains(c.config.Pools, q.Pool) {
		c.add(LevelError, where, "sends its jobs to pool %q, which is not defined", q.Pool)
	} else if _, registered := c.fleet.Pools[q.Pool]; c.fleet.Pools != nil && !registered {
		c.add(LevelNever, where, "no worker of pool %q is registered, so that none of its jobs would start", q.Pool)
	}
}

func (c *configCheck) queueTerms(where string, q *work.Queue) {
	if q.Priority < 0 {
		c.add(LevelError, where, "has the negative priority %d", q.Priority)
	}
	if q.MaxAttempts < 1 {
		c.add(LevelContradict, where, "allows %d attempts, so that each job fails with its first failure", q.MaxAttempts)
	}
	if q.Stretch < 0 || q.Latency < 0 {
		c.add(LevelError, where, "has a negative stretch or target")
	} else if q.Stretch < 1 && q.Latency == 0 {
		c.add(LevelContradict, where, "has a target of %g times the run time, which no job can meet", q.Stretch)
	}
}

func (c *configCheck) tenants() {
	owners := map[string]model.CustomerID{}
	open := slices.ContainsFunc(c.config.Queues, func(q work.Queue) bool { return q.Anonymous })
	for _, name := range c.tenantNames() {
		tenant := c.config.Tenants[name]
		where := entry("tenant", string(name))
		if name == "" {
			c.add(LevelError, where, "has no name")
		}
		for _, key := range tenant.Keys {
			if owner, found := owners[key]; found {
				c.add(LevelError, where, "has a key that tenant %q has, too; calls with it would count for either", owner)
			}
			owners[key] = name
		}
		if len(tenant.Keys) == 0 && !open {
			c.add(LevelNever, where, "has no key, and no queue takes calls without one")
		}
		c.tenantLimits(where, tenant)
	}
}

func (c *configCheck) tenantLimits(where string, t work.Tenant) {
	if t.Weight < 0 || t.Guaranteed < 0 || t.Cap.CPU < 0 || t.Cap.Memory < 0 || t.Cap.GPU < 0 {
		c.add(LevelError, where, "has a negative limit")
	}
	if t.Cap.GPU > 0 && t.Guaranteed > t.Cap.GPU {
		c.add(LevelContradict, where, "is guaranteed %d accelerators and may have %d running", t.Guaranteed, t.Cap.GPU)
	}
	capacity := c.fleet.total()
	if c.fleet.Pools != nil && t.Guaranteed > capacity.GPU {
		c.add(LevelContradict, where, "is guaranteed %d accelerators, and all workers have %d", t.Guaranteed, capacity.GPU)
	}
}

// guarantees checks that all guarantees can be kept at the same time, and that some queue uses them.
func (c *configCheck) guarantees() {
	var sum model.Accelerators
	for _, t := range c.config.Tenants {
		sum += t.Guaranteed
	}
	if sum == 0 {
		return
	}
	if capacity := c.fleet.total(); c.fleet.Pools != nil && sum > capacity.GPU {
		c.add(LevelContradict, "tenants", "are guaranteed %d accelerators together, and all workers have %d", sum, capacity.GPU)
	}
	if !slices.ContainsFunc(c.config.Queues, func(q work.Queue) bool { return q.Priority == 0 }) {
		c.add(LevelNever, "tenants", "guarantees hold for jobs of priority 0, and no queue has that priority")
	}
}

func (c *configCheck) tenantNames() []model.CustomerID {
	return slices.Sorted(maps.Keys(c.config.Tenants))
}
