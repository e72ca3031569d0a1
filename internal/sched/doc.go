// Package sched decides which jobs run where. A Manager acquires data centres and offers jobs' operations from any
// instance; it runs an Owner for each data centre that it holds.
//
// Decisions are made by Core, which does no input or output and reads no clock: it is told what happened and returns
// actions. Owner executes the actions and reports their results back.
package sched
