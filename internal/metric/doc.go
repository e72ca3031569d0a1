// Package metric holds the Prometheus metrics of an instance, with one counter per refusal and retry reason.
package metric
