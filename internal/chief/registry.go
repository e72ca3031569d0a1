package chief

import (
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/model"
)

func (c *Scheduler) resetRegistry(items []kv.Item) {
	registered := map[model.WorkerID]bool{}
	for _, item := range items {
		if id, ok := c.applyRegistryItem(item); ok {
			registered[id] = true
		}
	}
	for id, w := range c.workers {
		if !registered[id] {
			w.registered = false
		}
	}
	c.dirty = true
	c.saveRoster()
}

func (c *Scheduler) updateRegistry(events []kv.Event) {
	for _, event := range events {
		if !event.Removed {
			c.applyRegistryItem(event.Item)
			continue
		}
		id := model.WorkerID(event.Key[len(c.Registry):])
		if w := c.workers[id]; w != nil && w.registered {
			w.registered = false
			c.Log.Info().Str("worker", string(id)).Int("runs", len(w.runs)).Msg("chief: worker left the registry")
		}
	}
	c.dirty = true
	c.saveRoster()
}

func (c *Scheduler) applyRegistryItem(item kv.Item) (model.WorkerID, bool) {
	info, err := c.DecodeWorker(item.Key, item.Value)
	if err != nil {
		c.Log.Warn().Err(err).Msg("chief: registry entry ignored")
		c.Observe.CallResult("registry", "malformed")
		return "", false
	}
	w := c.workers[info.ID]
	switch {
	case w == nil:
		w = &worker{runs: map[runKey]*run{}, born: info.Born}
		c.workers[info.ID] = w
		c.Log.Info().Str("worker", string(info.ID)).Str("zone", string(info.Zone)).Msg("chief: worker known")
	case info.Born > w.born && w.born != 0:
		c.handleRestart(w, info.Born)
	case info.Born < w.born:
		return info.ID, true // Entry of an earlier incarnation.
	}
	if info.Draining && !w.info.Draining {
		c.Log.Info().Str("worker", string(info.ID)).Dur("remaining", info.Remaining).Msg("chief: worker drains")
	}
	if w.born == 0 {
		w.born = info.Born
	}
	w.info, w.registered = info, true
	if info.Draining {
		w.noteDrain(c.Now())
		c.stopRunsBeforeLeave(w, c.Now())
	} else {
		w.leavesAt = 0 // The time of a notice that was taken back says nothing of a later one.
	}
	if !w.polled {
		c.pollIfDue(w)
	}
	return info.ID, true
}

// handleRestart resets the state of a worker that restarted under the same id: earlier runs are lost, and its end numbers
// start again. Runs ordered after its restart, before that was known here, may be present: the next poll lists them.
func (c *Scheduler) handleRestart(w *worker, born int64) {
	c.Log.Info().Str("worker", string(w.info.ID)).Int64("born", born).Int("runs", len(w.runs)).Msg("chief: worker started again")
	w.born = born
	w.listedFrom, w.handledEnd, w.durableEnd, w.ackedEnd, w.unackableEnd = 0, 0, 0, 0, 0
	w.listedEnds, w.listExhausted = 0, false
	w.clock, w.clockReadAt, w.leaseUntil, w.leavesAt = 0, 0, 0, 0
	w.knownSince, w.nextPollAt = c.Now(), 0
	c.speeds.Forget(w.info.ID)
	w.speed, w.speedLogged = 0, 0
	c.pollIfDue(w)
	c.dirty = true
}
