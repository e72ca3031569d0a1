// Package fakeep is a small fake of one endpoint for demos and tests, with fault switches.
package fakeep
