// Package fakewk is a small fake of one worker for demos and tests. It has reservations that expire, tasks under leases, fencing
// tokens per data centre and checkpoints, and fault switches for delays, hangs, refusals and crashes.
package fakewk
