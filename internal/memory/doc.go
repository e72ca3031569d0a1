// Package memory counts the memory that jobs take in the instance that schedules them, so that more is not accepted than it can hold.
package memory
