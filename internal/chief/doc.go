// Package chief implements the job scheduler: the elected leader runs one Scheduler per term. A single goroutine owns all
// state; calls to workers and to the store run in goroutines of their own and post their results to it. Only what the store
// and the workers hold outlives a term, and the next leader's Scheduler starts from these two.
package chief
