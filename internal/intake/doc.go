// Package intake accepts and cancels jobs for callers and reports their state, from the memory of the instance that schedules or
// from the store.
package intake
