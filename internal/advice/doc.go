// Package advice keeps what the advice service has said about the workers that may run a step, and decides how many workers a call to it
// names. A ticket is valid for a time only, and a call may take most of that time or more. The package knows no network and no log.
package advice
