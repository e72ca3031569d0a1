// Package config publishes configurations and follows them.
//
// One head key in the store names the revision in effect and the segments that hold its objects, one per kind, by content
// hash. A Publisher replaces the head by compare-and-swap. A Follower brings each revision into effect on its instance and
// tracks how long ago that revision was last proved to be the newest.
package config
