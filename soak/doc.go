// Command soak runs several instances of peridotd as separate processes against a fake of the users' platform, injects
// faults from outside the processes, and checks what callers and workers observe. The faults are drawn from a seed.
package main
