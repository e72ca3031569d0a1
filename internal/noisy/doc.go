// Package noisy learns which kinds of tasks slow each other down on one worker (noisy neighbours), from the rates at which tasks work
// beside and without each other. It imports no network, timer, log or store: its caller passes samples and the time.
//
// An effect is the change of the logarithm of a victim's rate while an aggressor runs on the same worker. Effects of several neighbours add
// up. Each effect has a mean and a variance, which observations update as a Kalman filter without covariances does, and which drift back to
// the prior with age.
package noisy
