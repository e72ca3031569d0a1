// Package speed measures how long single steps of the scheduler and the gateway take on this machine, and how these times
// grow with the size of the fleet.
//
// Placement and configuration run in memory on clusters filled with jobs, without the network, the store and the workers.
// The hop through an instance is measured on loopback, with the callers, the instance and the endpoints in one process.
package speed
