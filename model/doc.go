// Package model defines the objects that operators publish, the ids and units that the whole system uses, and the
// validation of a complete set of objects.
//
// All types are plain values. A Set that has been published is never changed, so it may be read concurrently.
package model
