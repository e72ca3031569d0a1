// Package batch measures job scheduling: seeded job arrivals drive the decisions of package sched in virtual time.
//
// One sched.Core per data centre receives the events and returns actions; simulated workers in memory carry them out after
// fixed delays. Not simulated are the store and its faults, the loss of answers and workers, changes of ownership, and the
// gang driver with its retries: every call succeeds unless a worker lacks the capacity. Workers run each task for the
// job's true run time, which the scheduler does not know; they share no cores and move no data. A renewal that reports no
// ended task causes no pass before the next second.
package batch
