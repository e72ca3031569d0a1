// Package queue admits requests and orders them by class, customer and deadline until an endpoint slot is free.
//
// Errors here are wrapped with fmt.Errorf: eris records a stack trace per error, which costs time on the path of each request.
package queue
