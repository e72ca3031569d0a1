// Package gangs measures what the reserve step of a gang's start saves, compared with starting the tasks at once and undoing
// partial starts.
//
// The gang driver starts one gang at a time on workers in memory, in virtual time, while workers refuse calls, lose
// answers, hang and die. Not simulated are the choice of the workers, a new attempt after a failure, and gangs that compete
// for capacity; the record of the decision is kept in memory, and storing it always succeeds.
package gangs
