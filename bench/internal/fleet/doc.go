// Package fleet measures the cost of idle instances by fleet size: processor time, memory, bytes, and calls to the store.
//
// It starts real processes of standin and peridotd on loopback, publishes the objects of an example, waits until all
// instances are ready, reads their metrics and process statistics twice, and kills the processes. There are no requests
// and no jobs; one standin process simulates all external services, and latencies are those of loopback.
package fleet
