// Command demo starts example deployments as separate processes on loopback, runs jobs and requests on them while a data
// centre and instances go out of service, and checks the promises. It exits with 1 when a promise was violated.
package main
