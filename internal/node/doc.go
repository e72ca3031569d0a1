// Package node assembles an instance on the users' platform: it serves callers, watches the operators' configuration, takes part
// in elections, and schedules while it is the leader.
package node
