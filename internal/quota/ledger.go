package quota

import (
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Ledger adds up what each tenant has running on all workers. A run counts from the moment that it is decided until its end is certain,
// so also while its start is in doubt or its stop is under way. The zero value is empty.
type Ledger struct {
	used map[model.CustomerID]work.Resources
}

// Add counts a run.
func (l *Ledger) Add(tenant model.CustomerID, run work.Resources) {
	if l.used == nil {
		l.used = map[model.CustomerID]work.Resources{}
	}
	l.used[tenant] = l.used[tenant].Add(run)
}

// Remove counts a run no more.
func (l *Ledger) Remove(tenant model.CustomerID, run work.Resources) {
	left := l.used[tenant].Sub(run)
	if left == (work.Resources{}) {
		delete(l.used, tenant)
		return
	}
	l.used[tenant] = left
}

// Used returns what a tenant has running.
func (l *Ledger) Used(tenant model.CustomerID) work.Resources { return l.used[tenant] }
