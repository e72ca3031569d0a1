// Package calls measures requests: endpoint selection, queueing and the retry budget of nine instances in front of 50
// endpoints, in virtual time.
//
// The route tables, queues and relays are those of the gateway. Endpoints are counters of busy slots with random service
// times, reached through the relay's function field. Not simulated are the HTTP servers and connections of both sides,
// claims, the exchange between instances, and the balancer: each request reaches a random instance. The gateway draws
// endpoints with a generator that is not seeded, so results of one seed differ a little between runs.
package calls
