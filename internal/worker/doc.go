// Package worker is a client for the HTTP API of workers: reservations, task starts, lease renewals and stops.
package worker
