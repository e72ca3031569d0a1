// Package audit records decisions so that operators can look up their reasons later. Events are buffered in memory and written to
// the store in batches, at most once a second; an instance that makes no decisions writes nothing.
package audit
