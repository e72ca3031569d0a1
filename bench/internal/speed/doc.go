// Package speed measures how long the mechanism's own steps take on this machine, and how that grows with the fleet.
//
// Placement and configuration run on clusters that are filled with jobs in memory; the network, the store and the workers
// are left out. The hop is measured over loopback, with the caller, the instance and the endpoints in one process.
package speed
