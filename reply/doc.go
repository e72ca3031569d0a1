// Package reply defines what callers and operators are told: a closed set of outcomes, the reasons of refusals, and
// their form over HTTP.
package reply
