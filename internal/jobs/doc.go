// Package jobs stores the durable records of jobs. Each record has its own key in the store and is changed only by compare-and-swap.
package jobs
