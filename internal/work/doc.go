// Package work defines the scheduler's model of jobs, steps, tasks, workers and the operators' configuration, and the durable
// record of a job's progress.
package work
