package intake

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/model"
)

// applied describes a change that has taken effect.
type applied struct {
	revision kv.Revision // of the stored key; 0 if another instance stored it
	before   bool        // an earlier attempt had stored it
	relayed  bool        // through another instance
}

// changeResult describes how the result of a change came about, for the log.
type changeResult struct {
	applied   applied
	attempts  int
	waited    time.Duration // unsent, for the store's return
	took      time.Duration
	callEnded error // why the call was over before its result; nil if it was not
}

// log adds the result of a change to a line.
func (r *changeResult) log(line *zerolog.Event, id model.JobID, err error) *zerolog.Event {
	line = line.Str("job", string(id)).Str("outcome", r.outcome(err)).Int("attempts", r.attempts).Dur("took", r.took).Err(err)
	if r.applied.revision != 0 {
		line = line.Uint64("revision", uint64(r.applied.revision))
	}
	if r.waited != 0 {
		line = line.Dur("waited", r.waited)
	}
	if r.callEnded != nil {
		line = line.AnErr("call-ended", r.callEnded)
	}
	return line
}

// outcome names the result of a change.
func (r *changeResult) outcome(err error) string {
	var cancelled *CancelledError
	switch {
	case err == nil && r.applied.relayed:
		return "stored-by-peer"
	case err == nil && r.applied.before:
		return "stored-before"
	case err == nil:
		return "stored"
	case errors.As(err, &cancelled):
		return "cancelled-before"
	case IsFinal(err):
		return "unknown-job"
	case isRefused(err):
		return "refused"
	}
	return "in-doubt"
}
