// Package member keeps the membership of instances in the store and exchanges reports between them.
//
// Each instance calls every other one each 500 ms, in a goroutine and with a timeout per peer, so that a peer that hangs
// delays nobody else. Ages are measured by the local monotonic clock only: an age that arrives in an answer grows by the
// whole round trip, and an age that arrives in a call is not used because nothing bounds the time that the call took.
package member
