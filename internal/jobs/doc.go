// Package jobs stores the durable records of jobs, one key of the store per job, changed only by compare-and-swap.
package jobs
