// Package fakewk is a small stand-in for one worker, for demos and tests: reservations that expire, tasks under leases,
// fencing tokens per data centre, checkpoints, and switches that make it slow, silent, refusing or broken.
package fakewk
