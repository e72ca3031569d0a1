package work

import (
	"strings"

	"peridotgw.example/peridotgw/model"
)

// Prefixes of the keys that the scheduler writes to the store.
const (
	JobPrefix       = "job/"
	ProgressPrefix  = "progress/"
	PlacementPrefix = "placement/"
	cancelSuffix    = "/cancel"
)

// JobKey returns the key of the Job record.
func JobKey(id model.JobID) string { return JobPrefix + string(id) }

// CancelKey returns the key that exists once a cancellation of the job was accepted.
func CancelKey(id model.JobID) string { return JobPrefix + string(id) + cancelSuffix }

// ProgressKey returns the key of the Progress record of a job.
func ProgressKey(id model.JobID) string { return ProgressPrefix + string(id) }

// PlacementKey returns the key of the list of workers that may have runs of a job.
func PlacementKey(id model.JobID) string { return PlacementPrefix + string(id) }

// SplitJobKey returns the job of a key under JobPrefix, and whether it is the job's cancel key.
func SplitJobKey(key string) (id model.JobID, cancel bool) {
	id = model.JobID(strings.TrimPrefix(key, JobPrefix))
	if trimmed, found := strings.CutSuffix(string(id), cancelSuffix); found {
		return model.JobID(trimmed), true
	}
	return id, false
}
