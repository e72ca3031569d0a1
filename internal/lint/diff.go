package lint

import (
	"fmt"
	"maps"
	"slices"

	"peridotgw.example/peridotgw/internal/work"
)

// differences lists what the candidate changes.
func (c *configCheck) differences(inForce *work.Config) {
	if c.config.Version <= inForce.Version {
		c.add(LevelError, "version", "%d does not follow version %d, which is in force; instances would ignore it", c.config.Version, inForce.Version)
	}
	compareEntries(&c.report, "queue", queueFields(inForce), queueFields(c.config))
	compareEntries(&c.report, "tenant", tenantFields(inForce), tenantFields(c.config))
	if inForce.MaxBodyBytes != c.config.MaxBodyBytes {
		c.add(LevelDifference, "limits", "bodies: %d bytes, in force %d", c.config.MaxBodyBytes, inForce.MaxBodyBytes)
	}
	c.withdrawnKeys(inForce)
}

// field is a named value of an entry.
type field struct {
	name, value string
}

// compareEntries reports added and removed entries, and the fields that changed.
func compareEntries(r *report, kind string, before, after map[string][]field) {
	names := maps.Clone(before)
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, existed := before[name]
		updated, exists := after[name]
		where := entry(kind, name)
		switch {
		case !existed:
			r.add(LevelDifference, where, "is new")
		case !exists:
			r.add(LevelDifference, where, "is removed")
		default:
			for i := range updated {
				if old[i] != updated[i] {
					r.add(LevelDifference, where, "%s: %s, in force %s", updated[i].name, updated[i].value, old[i].value)
				}
			}
		}
	}
}

func queueFields(config *work.Config) map[string][]field {
	entries := map[string][]field{}
	for i := range config.Queues {
		q := &config.Queues[i]
		entries[string(q.Name)] = []field{
			{"host", q.Host},
			{"prefix", q.Prefix},
			{"pool", string(q.Pool)},
			{"priority", fmt.Sprint(q.Priority)},
			{"attempts", fmt.Sprint(q.MaxAttempts)},
			{"stretch", fmt.Sprint(q.Stretch)},
			{"target", q.Latency.String()},
			{"calls without a key", fmt.Sprint(q.Anonymous)},
			{"advice", fmt.Sprint(q.Advised)},
			{"time of a call for advice", q.Advice.Decision.String()},
			{"time of a call for advice for each worker", q.Advice.PerWorker.String()},
			{"validity of advice", q.Advice.Valid.String()},
		}
	}
	return entries
}

func tenantFields(config *work.Config) map[string][]field {
	entries := map[string][]field{}
	for name, t := range config.Tenants {
		entries[string(name)] = []field{
			{"guaranteed accelerators", fmt.Sprint(t.Guaranteed)},
			{"weight", fmt.Sprint(t.Weight)},
			{"most thousandths of a core", limit(t.Cap.CPU)},
			{"most memory in MB", limit(t.Cap.Memory)},
			{"most accelerators", limit(int(t.Cap.GPU))},
		}
	}
	return entries
}

func limit(value int) string {
	if value == 0 {
		return "no limit"
	}
	return fmt.Sprint(value)
}

// withdrawnKeys reports how many keys each tenant gets and loses. The keys themselves are secrets.
func (c *configCheck) withdrawnKeys(inForce *work.Config) {
	for _, name := range c.tenantNames() {
		before, after := inForce.Tenants[name].Keys, c.config.Tenants[name].Keys
		added, removed := missingFrom(before, after), missingFrom(after, before)
		if added+removed > 0 && len(before) > 0 {
			c.add(LevelDifference, entry("tenant", string(name)), "keys: %d new, %d withdrawn", added, removed)
		}
		if len(before) > 0 && len(after) > 0 && removed == len(before) {
			c.add(LevelContradict, entry("tenant", string(name)), "loses all its %d keys at once; callers that still use one get 401", removed)
		}
	}
}

// missingFrom returns how many of some keys are not among others.
func missingFrom(others, keys []string) int {
	missing := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			missing++
		}
	}
	return missing
}
