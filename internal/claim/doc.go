// Package claim keeps durable claims of requests that must not run twice. A claim is created in the store before the request
// leaves the instance, so that a duplicate finds it on any instance after any crash; the outcome is written to it afterwards.
package claim
