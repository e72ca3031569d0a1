// Package elect registers an instance in the store and elects the one that schedules. Instance and leadership hang on one
// lease of the store; the fencing token of a leader is the revision at which it took the leadership.
package elect
