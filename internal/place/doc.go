// Package place decides on which workers the jobs of one data centre run. It binds guarantees to accelerators of racks,
// lends bound capacity to stoppable jobs, preempts jobs, and holds racks for large jobs.
//
// The code is deterministic: it reads no clock, does no I/O and uses no randomness, and the same calls in the same order
// give the same plans. A Cluster is not safe for concurrent use.
package place
