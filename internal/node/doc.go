// Package node assembles an instance on the users' platform: it answers callers, follows the operators' configuration,
// takes part in elections, and schedules while it leads.
package node
