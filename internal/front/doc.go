// Package front serves the callers' HTTP API: requests and jobs.
package front
