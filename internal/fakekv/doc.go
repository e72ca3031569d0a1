// Package fakekv is a small fake of the platform's key-value service for demos and tests. It has compare-and-swap, leases and
// watches, and fault switches for delays, outages, lost answers and stale reads.
package fakekv
