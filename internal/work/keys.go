package work

import (
	"strings"

	"peridotgw.example/peridotgw/model"
)

// Prefixes of the project's own keys in the store.
const (
	JobPrefix      = "job/"
	ProgressPrefix = "progress/"
	cancelSuffix   = "/cancel"
)

// JobKey holds a job as it was accepted.
func JobKey(id model.JobID) string { return JobPrefix + string(id) }

// CancelKey exists once a job's cancelling was accepted.
func CancelKey(id model.JobID) string { return JobPrefix + string(id) + cancelSuffix }

// ProgressKey holds the progress of a job.
func ProgressKey(id model.JobID) string { return ProgressPrefix + string(id) }

// SplitJobKey returns the job that a key under JobPrefix belongs to, and whether it is the cancel key.
func SplitJobKey(key string) (id model.JobID, cancel bool) {
	id = model.JobID(strings.TrimPrefix(key, JobPrefix))
	if trimmed, found := strings.CutSuffix(string(id), cancelSuffix); found {
		return model.JobID(trimmed), true
	}
	return id, false
}
