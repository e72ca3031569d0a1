// Package speed learns how fast each worker is and how far the estimates of jobs are off, and says how much a worker's speed matters for
// a task. Speeds are relative to a usual worker of the fleet; nothing states them. What is learned is bounded in memory and loses weight
// with age. The package imports no network, timer, log or store: times are given as the time since any fixed origin.
package speed
