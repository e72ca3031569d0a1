// Package worker is the client of the workers' HTTP interface: reservations, task starts, lease renewals and stops.
package worker
