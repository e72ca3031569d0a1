// Package kv describes the platform's key-value store in the project's own terms: items, watches, conditional writes and
// leases. The adapter provides the calls; Follower keeps a local copy of a prefix.
package kv
