// Package place decides where jobs of one data centre run: racks as cells, guarantees bound to accelerators of racks,
// lending of bound capacity to work that can be stopped, preemption and rack holds.
//
// The code is pure and deterministic: it reads no clock, sends nothing and uses no randomness, and the same calls in the
// same order give the same plans. A Cluster is not safe for concurrent use.
package place
