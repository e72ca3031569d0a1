// Package kernel is a micro-kernel: it starts services in dependency order under one errgroup, lets them find each other
// by name, and stops them in reverse order.
package kernel
