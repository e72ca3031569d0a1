// Package relay sends requests to endpoints, checks that each answer is complete and belongs to its request, and retries
// where that is allowed. Its outcomes are always true: "refused" only when it is proved that no send ran.
//
// Errors here are wrapped with fmt.Errorf: eris records a stack trace per error, which costs time on the path of each request.
package relay
