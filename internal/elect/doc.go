// Package elect registers an instance in the store and elects the instance that schedules. The registration and the leadership
// share one lease of the store; a leader's fencing token is the revision at which it claimed the leadership.
package elect
