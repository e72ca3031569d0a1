// Package calls measures requests: selection of endpoints, queueing and the retry budget of nine instances in front of 50
// endpoints, in virtual time.
//
// The route tables, queues and relays are the product's. Endpoints are counters of busy slots with drawn service times,
// reached through the relay's function field. Left out are the HTTP servers and connections of both sides, claims, the
// exchange between instances, and the balancer's own behaviour: each request reaches a random instance. The product draws
// endpoints with a generator that is not seeded, so figures of one seed differ a little between runs.
package calls
