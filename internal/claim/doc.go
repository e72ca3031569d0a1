// Package claim keeps durable claims on requests that must not run twice. A claim is created in the store before the request
// leaves the instance, so that a duplicate finds it on any instance after any crash. The outcome is added when the request ends.
package claim
