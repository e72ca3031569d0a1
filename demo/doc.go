// Command demo starts a deployment as separate processes on loopback, runs its main job, takes data centres and instances
// away, and reports what it saw. It exits with 1 when a promise was broken.
package main
