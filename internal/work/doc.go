// Package work describes jobs, their steps and tasks, workers and the operators' configuration as the scheduler sees them,
// and the durable record of a job's progress.
package work
