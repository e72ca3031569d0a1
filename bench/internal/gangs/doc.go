// Package gangs measures what the reserve step of a gang's start saves, beside starting at once and undoing.
//
// The gang driver starts one gang at a time on workers in memory, in virtual time, while workers refuse, lose answers,
// hang and die. Left out are the choice of the workers, a new attempt after a failure, and gangs that compete for room;
// the record of the decision is kept in memory and always stored.
package gangs
