// Package audit records decisions, so that each can be explained later. Events are collected in memory and written to the
// store in batches, at most once a second; an instance that makes no decisions writes nothing.
package audit
