// Package memnet is an in-memory HTTP network without sockets, so that tests run under virtual time. Paths between two hosts can
// refuse calls, drop them, delay them or lose answers, and two hosts can be partitioned.
package memnet
