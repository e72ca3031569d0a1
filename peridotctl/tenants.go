package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/node"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/internal/work"
)

// leaderTimeout limits the call to the leader.
const leaderTimeout = 2 * time.Second

// leaderDownError reports that the leader that the store names does not answer, or does not schedule any more.
type leaderDownError struct {
	address string
	cause   error
}

func (e *leaderDownError) Error() string {
	return "the leader at " + e.address + ": " + e.cause.Error()
}

// platformTenants shows the limits and the use of all tenants, which the leader alone knows.
func (s *session) platformTenants(ctx context.Context, store *kv.Store, _ []string) error {
	leader, found, err := elect.ReadLeader(ctx, store)
	if err != nil {
		return err
	}
	if !found {
		return &missingError{what: "leader"}
	}
	caller, closeIdle := wire.NewCaller(leaderTimeout)
	defer closeIdle()
	tenants, err := node.Tenants(ctx, caller, leader.Address)
	if err != nil {
		return &leaderDownError{leader.Address, err}
	}
	rows := [][]string{{"TENANT", "WEIGHT", "GUARANTEED", "CPU", "MEMORY", "ACCELERATORS", "SHARE", "WAITING", "TOO-WIDE"}}
	for i := range tenants {
		rows = append(rows, tenantRow(&tenants[i]))
	}
	return s.print(tenants, rows)
}

// tenantRow shows what a tenant uses of each kind of resource, and its cap if there is one.
func tenantRow(t *quota.State) []string {
	ofCap := func(of func(work.Resources) int) string {
		if of(t.Cap) == 0 {
			return strconv.Itoa(of(t.Used))
		}
		return fmt.Sprintf("%d/%d", of(t.Used), of(t.Cap))
	}
	return []string{
		string(t.Tenant), fmt.Sprint(t.Weight), fmt.Sprint(t.Guaranteed), ofCap(func(r work.Resources) int { return r.CPU }),
		ofCap(func(r work.Resources) int { return r.Memory }), ofCap(func(r work.Resources) int { return int(r.GPU) }),
		fmt.Sprintf("%.1f%%", 100*t.Share), strconv.Itoa(t.Waiting), strconv.Itoa(t.TooWide),
	}
}
