// Package reply defines the outcomes of requests, jobs and changes, the reasons of outcomes other than done, and the
// form in which callers and operators receive them over HTTP.
package reply
