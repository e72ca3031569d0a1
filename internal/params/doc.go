// Package params reads the settings of an instance: one file of JSON with comments, which is checked completely before the
// instance starts anything.
package params
