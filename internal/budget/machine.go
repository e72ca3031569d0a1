package budget

import (
	"math"
	"runtime/debug"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"
)

// Source says where a limit of a Machine comes from.
type Source string

// Sources of limits.
const (
	SourceSettings Source = "settings"
	SourceRuntime  Source = "GOMEMLIMIT"
	SourceGroup    Source = "control-group"
	SourceSystem   Source = "system" // the memory that the kernel reports
	SourceProcess  Source = "process"
	SourceDefault  Source = "default" // nothing else is known
)

const (
	// defaultMemory holds where neither the settings nor the kernel tell the memory.
	defaultMemory Bytes = 256 << 20
	// defaultDescriptors are those of a process that the kernel does not limit, or does not tell the limit of.
	defaultDescriptors = 4096
	// fileDescriptors are left for files and for what the runtime opens.
	fileDescriptors = 200
)

// Machine are the limits of a VM from which the limits of a process's servers are derived; 0 means unknown.
type Machine struct {
	Memory          Bytes
	MemoryFrom      Source
	Descriptors     int // that sockets may use
	DescriptorsFrom Source
}

const (
	// connShare is the divisor of the memory that the connections of one server may take, and connBytes what each takes: goroutine,
	// buffers and the largest headers (32 KB), and what the kernel has received and the server has not read (64 KB).
	connShare       = 2
	connBytes Bytes = 96 << 10
	// defaultConns is the limit where the machine is unknown.
	defaultConns = 4096
	minConns     = 16
)

// WithDescriptors returns the limits with those of a process that may open a number of descriptors, some of which are left for files.
func (m Machine) WithDescriptors(limit int, from Source) Machine {
	m.Descriptors, m.DescriptorsFrom = max(1, limit-fileDescriptors), from
	return m
}

// Complete returns the limits with those that are unknown filled in: from the least of GOMEMLIMIT, the control group and the memory of the
// system, and from the process's limit of descriptors.
func (m Machine) Complete() Machine {
	if m.Memory <= 0 {
		m.Memory, m.MemoryFrom = findMemory()
	}
	if m.Descriptors <= 0 {
		m = m.WithDescriptors(findDescriptors())
	}
	return m
}

// findMemory returns the memory that this process may use.
func findMemory() (Bytes, Source) {
	least, from := Bytes(math.MaxInt64), SourceDefault
	note := func(limit Bytes, source Source) {
		if limit > 0 && limit < least {
			least, from = limit, source
		}
	}
	note(Bytes(debug.SetMemoryLimit(-1)), SourceRuntime)
	if limit, err := memlimit.FromCgroup(); err == nil && limit < math.MaxInt64 {
		note(Bytes(limit), SourceGroup)
	}
	if limit, err := memlimit.FromSystem(); err == nil && limit < math.MaxInt64 {
		note(Bytes(limit), SourceSystem)
	}
	if from == SourceDefault {
		return defaultMemory, SourceDefault
	}
	return least, from
}

// findDescriptors returns how many descriptors this process may open.
func findDescriptors() (int, Source) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return defaultDescriptors, SourceDefault
	}
	return int(limit.Cur), SourceProcess
}

// Bodies returns a budget of one in divisor of the machine's memory for the bodies of a server, or nil if the memory is unknown.
func (m Machine) Bodies(divisor Bytes) *Budget {
	if m.Memory <= 0 {
		return nil
	}
	return New(m.Memory / divisor)
}

// Conns returns the most connections of a server that may use one in divisor of the descriptors.
func (m Machine) Conns(divisor int) int {
	limit := defaultConns
	if m.Descriptors > 0 {
		limit = m.Descriptors / divisor
	}
	if m.Memory > 0 {
		limit = min(limit, int(m.Memory/connShare/connBytes))
	}
	return max(limit, minConns)
}
