// Package lease keeps the single store lease of an instance alive. The membership key and the keys by which the instance owns
// data centres and roles are attached to the lease; each ownership has a fencing token higher than those of all earlier owners.
package lease
