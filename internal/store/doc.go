// Package store is the client of the platform's key-value service: compare-and-swap, leases and watches over HTTP.
//
// A write whose answer was lost may have been applied; UnavailableError says so, and callers read the key to find out.
package store
