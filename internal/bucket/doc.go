// Package bucket shares leases of a store among keys that are to expire a while after they are written, so that nobody has to remove them.
package bucket
