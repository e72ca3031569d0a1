// Package fakevm is a small fake of the platform's VM list for demos and tests; its answers can lag behind.
package fakevm
