// Package serve runs HTTP servers that stop without leaving a request unanswered. The graceful shutdown of net/http closes connections
// whose request it has just read, and the kernel resets those that wait to be accepted when a listener is closed; a Server answers both.
package serve
