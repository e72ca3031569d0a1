// Package budget bounds the memory of the bodies that a process is reading or working on. A part of it is kept for small bodies. Where
// it is full, bodies of which nothing has arrived for a while give way to new ones. The package reads no network and keeps no timer.
package budget
