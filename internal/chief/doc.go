// Package chief schedules: the instance that leads runs one Chief per term. A single goroutine owns all state; calls to
// workers and to the store run beside it and report back. Nothing of a term outlives it but what is in the store and on
// the workers, so that the next chief starts from these two.
package chief
