// Package clock provides a sleep that a context interrupts, and a clock that includes suspend time.
package clock
