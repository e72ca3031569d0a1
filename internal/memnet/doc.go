// Package memnet carries HTTP between handlers of one process without sockets, so that tests run under virtual time. Paths
// between two hosts can be cut, silent, slow, or lose answers, and two hosts can be partitioned.
package memnet
