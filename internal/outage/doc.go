// Package outage decides, from the results of calls to the store, whether a change may be sent to it now, how long a caller's change is
// kept unsent for its return, in which order the changes that were kept go on, and when refused callers should come back. The time is
// passed in; the package makes no calls and has no timers.
package outage
