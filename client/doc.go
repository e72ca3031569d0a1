// Package client calls the HTTP interfaces of peridotgw: Caller sends requests and jobs, Operator publishes
// the configuration and reads the state of the deployment.
//
// Errors are one of two types, found with errors.As:
//
//   - *reply.Error states outcome, reason and message. Outcome refused proves that nothing ran. A connection that broke
//     after a call may have been sent gives outcome unknown.
//   - *UnreachableError means that no address could be connected to, so nothing was sent; for calls that only read, it
//     also covers answers that did not arrive.
package client
