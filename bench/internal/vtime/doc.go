// Package vtime runs code that reads the clock of package time in virtual time, so that a benchmark of minutes of traffic
// takes seconds and does not depend on how busy the machine is.
package vtime
