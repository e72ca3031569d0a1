// Package route keeps the table of endpoints and chooses the endpoint of each send.
//
// The slots of each endpoint are assigned to the live instances by rendezvous hashing, so that together they stay within an
// endpoint's slots without coordination per request. An instance whose own slots are all busy borrows slots of endpoints
// that recently reported free ones.
//
// Errors here are wrapped with fmt.Errorf: eris records a stack trace per error, which costs time on the path of each request.
package route
