// Package queue admits requests and orders them by class, customer and deadline until an endpoint slot is free.
package queue
