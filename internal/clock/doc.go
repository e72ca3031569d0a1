// Package clock waits for a time or for the end of a context, whichever comes first.
package clock
