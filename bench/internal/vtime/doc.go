// Package vtime runs code that uses package time in virtual time, so that a benchmark of minutes of traffic takes seconds
// and does not depend on the load of the machine.
package vtime
