// Package params reads the settings of an instance: one file of JSON with comments that is checked as a whole before
// anything starts.
package params
