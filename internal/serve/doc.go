// Package serve runs HTTP servers that stop without leaving a request unanswered. The graceful shutdown of net/http closes connections
// whose request it has just read, and the kernel resets those that wait to be accepted when a listener is closed; a Server answers both.
//
// A connection is busy from the first byte of a request until its answer is written. Once it is ending, it closes as soon as it is not
// busy: its reads time out, unless bytes have arrived. A request may still arrive between that and the close, which HTTP/1.1 cannot
// prevent; Server.Refuse answers it. Connections that are busy when the time of a drain ends are cut. A connection that is not busy is
// called unused; one that has carried an answer was used.
package serve
