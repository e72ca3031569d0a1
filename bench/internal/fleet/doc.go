// Package fleet measures what idle instances cost, by their number: processor time, memory, bytes, and calls to the store.
//
// It starts real processes of the stand-ins and of peridotd over loopback, publishes an example's objects, waits until all
// instances are ready, reads their metrics and process accounts twice, and ends the processes. There are no requests and
// no jobs; the stand-ins are one process, and latencies are those of loopback.
package fleet
