// Package kv is the scheduler's interface to the platform's key-value store: items, watches, conditional transactions and
// leases. The platform adapter provides the calls; Follower reports every change under a prefix.
package kv
