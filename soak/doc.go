// Command soak runs several instances of peridotd as separate processes against a stand-in of the users' platform, injects
// faults from outside them, and checks what callers and workers see. A seed decides the faults.
package main
