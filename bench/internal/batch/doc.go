// Package batch measures job scheduling: seeded arrivals drive the decisions of package sched in virtual time.
//
// One sched.Core per data centre is told what happened and returns actions; small in-memory workers carry them out after
// fixed delays. Left out are the store and its faults, the loss of answers and workers, the hand-over of ownership, and
// the gang driver with its retries: every call succeeds unless a worker has no room. Workers run each task for the job's
// true time, which the decisions do not know, and neither share cores nor move data. A renewal that brings no news is not
// followed by a pass before the next second.
package batch
