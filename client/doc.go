// Package client calls the HTTP interfaces of peridotgw: Caller sends requests and jobs, Operator publishes
// configuration and asks for state.
//
// Errors are one of two types, found with errors.As:
//
//   - *reply.Error states outcome, reason and message. Outcome refused proves that nothing ran. A connection that broke
//     after something may have been written is outcome unknown.
//   - *UnreachableError means that no address could be connected to, so nothing was sent; for calls that only read, it
//     also stands for answers that did not arrive.
package client
