// Package agent describes the orders to workers and their errors; the adapter provides the calls.
package agent
