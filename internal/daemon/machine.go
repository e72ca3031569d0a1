package daemon

import (
	"peridotgw.example/peridotgw/internal/budget"
)

// The servers have limits of their own, so that callers do not take the place of operators and of other instances. The rest is for
// connections to endpoints, workers, the store and other instances.
const (
	callerBodyShare   = 4  // divisor of the memory; bodies are handed on as they are
	bodyShare         = 8  // divisor of the memory, for operators and for peers; decoded bodies take several times as much
	callerConnShare   = 2  // divisor of the descriptors
	operatorConnShare = 8  // divisor of the descriptors
	peerConnShare     = 8  // divisor of the descriptors
	probeConns        = 16 // connections for health and metrics
)

// httpLimit bounds what the clients of an HTTP server can use.
type httpLimit struct {
	bodies *budget.Budget
	conns  int
}

// newHTTPLimit returns the limit of a server that may use one in connDivisor of the descriptors.
func newHTTPLimit(connDivisor int) httpLimit {
	m := budget.Machine{}.Complete()
	return httpLimit{bodies: m.Bodies(bodyShare), conns: m.Conns(connDivisor)}
}
