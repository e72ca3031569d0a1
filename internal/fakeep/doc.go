// Package fakeep is a stand-in for one endpoint, with fault switches.
package fakeep
