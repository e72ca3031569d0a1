// Package kernel runs the services of a daemon: it starts them in dependency order under one errgroup, provides lookup by name, and
// stops them in reverse order.
package kernel
