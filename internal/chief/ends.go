package chief

import "math"

// A worker lists its running runs in full, but at most Workers.MaxListedEnds of its ends: the oldest that are not acknowledged. A run
// that is not listed may have ended as done beyond that, so that nothing may be concluded about it before the list is read to its end.

// noteListedEnds records how many ends a report listed, and whether the worker has thereby listed all it has.
func (c *Scheduler) noteListedEnds(w *worker, listed int) {
	w.listedEnds = listed
	result := "ok"
	if c.mayHideEnds(w) {
		result = "more-ends"
	} else if !w.polled {
		w.polled = true
		c.dirty = true
	}
	c.Observe.CallResult("look", result)
	if c.listableRuns(w) == 0 && !w.listExhausted {
		w.listExhausted = true
		c.Log.Warn().Str("worker", string(w.info.ID)).Int64("unackable", int64(w.unackableEnd)).Int("ends", listed).
			Int("runs", len(w.runs)).Msg("chief: worker gets no starts in this term; its list of ends cannot be acknowledged and is full")
	}
}

// mayHideEnds reports whether a worker may have ends that its last report did not list.
func (c *Scheduler) mayHideEnds(w *worker) bool { return w.listedEnds >= c.Workers.MaxListedEnds }

// hidesEndsForGood reports whether a worker may have ends that it will not list in this term, since those before them are never
// acknowledged.
func (c *Scheduler) hidesEndsForGood(w *worker) bool { return w.unackableEnd != 0 && c.mayHideEnds(w) }

// listableRuns returns how many more runs a worker may get so that it can list the ends of all its runs in one report. There is no limit
// where ends are acknowledged.
func (c *Scheduler) listableRuns(w *worker) int {
	if w.unackableEnd == 0 {
		return math.MaxInt
	}
	// A full list is not known to be complete.
	return max(0, c.Workers.MaxListedEnds-1-w.listedEnds-len(w.runs))
}
