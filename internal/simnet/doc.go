// Package simnet is a network in memory between named hosts, for tests: HTTP handlers are reached without sockets, also
// under testing/synctest, and connections between two hosts can be cut.
package simnet
