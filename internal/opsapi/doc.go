// Package opsapi is the operators' HTTP API: changes of the configuration, data centres in and out of service, status and
// explanations. Every answer is JSON; every answer that is not a success is a reply.Error.
package opsapi
