// Package fakekv is a small stand-in for the platform's key-value service, for demos and tests: compare-and-swap, leases,
// watches, and switches that make it slow, unavailable, lose answers or answer stale reads.
package fakekv
