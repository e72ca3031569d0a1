package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

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
	// fileDescriptors are left for files and for what the runtime opens.
	fileDescriptors = 200
)

// httpLimit bounds what the clients of an HTTP server can use.
type httpLimit struct {
	bodies *budget.Budget
	conns  int
}

// newHTTPLimit returns the limit of a server that may use one in connDivisor of the descriptors.
func newHTTPLimit(connDivisor int) httpLimit {
	m := machine()
	return httpLimit{bodies: m.Bodies(bodyShare), conns: m.Conns(connDivisor)}
}

// machine returns the limits of the VM: GOMEMLIMIT, or else its memory, and the process's limit of descriptors.
func machine() budget.Machine {
	m := budget.Machine{Memory: budget.Bytes(debug.SetMemoryLimit(-1))}
	if m.Memory == math.MaxInt64 {
		m.Memory = totalMemory()
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		m.Descriptors = max(0, int(limit.Cur)-fileDescriptors)
	}
	return m
}

// totalMemory returns the memory of the VM, or 0 if it is unknown.
func totalMemory() budget.Bytes {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return budget.Bytes(info.Totalram) * budget.Bytes(info.Unit) //nolint:gosec // It is below 2^63.
}
