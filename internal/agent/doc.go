// Package agent defines the orders that the scheduler sends to workers, and their errors; the platform adapter provides the calls.
package agent
