// Package lease holds the one store lease of an instance. The lease carries the membership key and the keys by which the
// instance owns data centres and roles; each ownership has a fencing token that is higher than those of all earlier owners.
package lease
