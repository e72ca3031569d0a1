// Package fakevm is a stand-in for the platform's VM list whose answers lag.
package fakevm
