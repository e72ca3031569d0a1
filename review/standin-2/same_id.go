package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	sameIDWatch = 20 * time.Second
	otherPrefix = "/other/"
	otherKey    = "key-2"
)

// twoQueues is a configuration with a queue and a tenant of each of two customers.
func twoQueues() []byte {
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,`+
			`"service":"pool","max_attempts":4,"stretch":3.0,"allow_anonymous":false}`, name, fakepl.Host, prefix)
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[%s,%s],"services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144},`+
		`"tenants":[{"name":"t","api_keys":[%q],"guaranteed":{"gpu":8}},{"name":"u","api_keys":[%q],"guaranteed":{"gpu":8}}]}`,
		route("q", fakepl.QueuePrefix), route("o", otherPrefix), fakepl.APIKey, otherKey)
}

// sameID lets clients of two tenants number their jobs from 1, each on a queue of its own; without the disruption the second one begins at
// another number.
func sameID(ctx context.Context, opts *options, r *record) error {
	ctx, cancel := context.WithCancel(ctx)
	c, err := newCluster(ctx, opts, r)
	if err != nil {
		cancel()
		return err
	}
	defer c.close()
	defer cancel()
	for i := range 12 {
		if err := c.addMinion("a", fmt.Sprintf("r%d", i/6)); err != nil {
			return err
		}
	}
	c.store.Put(fakepl.ConfigKey, twoQueues())
	if err := c.startNodes(3); err != nil {
		return err
	}
	first, second := newClient(c), newClient(c)
	second.key, second.prefix = otherKey, otherPrefix
	body := func(spec string, count int) []byte {
		return fmt.Appendf(nil, `{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":1000}]}`, spec, count)
	}
	id := fmt.Sprintf("%016x", 1)
	otherID := id
	if !opts.trouble {
		otherID = fmt.Sprintf("%016x", 1001)
	}
	if status, _, _ := first.call(http.MethodPost, id, body("work of tenant t", 1)); status != http.StatusOK {
		return fmt.Errorf("the first job was answered with %d", status)
	}
	sleep(ctx, time.Second)
	status, _, _ := second.call(http.MethodPost, otherID, body("work of tenant u", 3))
	if status/100 != 2 {
		r.note("the second job was not accepted")
		return nil
	}
	for began := time.Now(); time.Since(began) < sameIDWatch; sleep(ctx, time.Second) {
		if state := second.state(otherID); state == "completed" {
			break
		}
	}
	state := second.state(otherID)
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	ran := c.fleet.specs["work of tenant u"]
	if state == "completed" && ran < 3 {
		r.violation("MIXED: the job %s%s of 3 tasks is shown as completed, and %d of its tasks were started", otherPrefix, otherID, ran)
	}
	return nil
}
