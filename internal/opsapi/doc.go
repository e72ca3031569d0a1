// Package opsapi is the operators' HTTP API: it changes the configuration, takes data centres in and out of service, manages
// jobs, and reports the status and recorded decisions. Every answer is JSON; every answer other than a success is a
// reply.Error.
package opsapi
