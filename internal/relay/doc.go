// Package relay sends requests to endpoints, verifies that each answer is complete and belongs to its request, and retries
// where that is safe. It reports the outcome "refused" only when it is proved that no attempt ran.
//
// Errors here are wrapped with fmt.Errorf: eris records a stack trace per error, which costs time on the path of each request.
package relay
