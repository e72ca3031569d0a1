// Package member tracks the instances registered in the store and exchanges reports between them.
//
// Each instance calls every other one every 500 ms, with one goroutine and one timeout per peer, so that an unresponsive peer
// does not delay the others. Ages are measured only by the local monotonic clock: an age in an answer is increased by the whole
// round trip, and an age in an incoming call is ignored because the transit time of the call is unbounded.
package member
