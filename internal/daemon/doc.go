// Package daemon assembles one instance from its settings: it creates the services, ties them together, and registers them
// with the micro-kernel in the order in which they start and stop.
package daemon
