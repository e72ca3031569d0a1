// Package evict decides who pays when room is short: which runs are stopped for a stage that may push others out, and which idle room is
// kept for such stages, so that nothing starts there that would soon be stopped. It sees a snapshot of the workers and their runs, and
// returns stops and claims as data.
package evict
