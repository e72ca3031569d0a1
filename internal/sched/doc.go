// Package sched schedules jobs on the workers of data centres. A Manager acquires the ownership of data centres, runs an
// Owner for each one that it holds, and serves the operations on jobs, which any instance can serve.
//
// Core makes the decisions. It does no input or output and reads no clock: its methods take events and the current time,
// and it returns actions. Owner executes the actions and reports their results to Core.
package sched
