// Package daemon assembles one instance from its settings: it creates the services, connects them, and registers them with the
// micro-kernel, whose dependencies give the order in which they start and stop.
package daemon
