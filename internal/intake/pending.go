package intake

import (
	"context"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
)

const (
	pendingMaxAge = 500 * time.Millisecond
	countTimeout  = 2500 * time.Millisecond // of a count of pending jobs, by the owner and then from the store
)

// Pending returns the number of jobs of a queue none of whose tasks has started; the count is up to pendingMaxAge old.
func (s *Service) Pending(ctx context.Context, queue work.QueueName) (int, error) {
	if counts, fresh := s.cachedCounts(); fresh {
		return counts[queue], nil
	}
	// Calls wait for one count together. It has its own time: the first caller's may end before that of the others.
	waitCtx, cancelWait := reserveReply(ctx)
	defer cancelWait()
	result := s.counting.DoChan("", func() (any, error) {
		countCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), countTimeout)
		defer cancel()
		return nil, s.refreshCounts(countCtx)
	})
	select {
	case <-waitCtx.Done():
		return 0, s.refuse("pending", waitCtx.Err())
	case r := <-result:
		if r.Err != nil {
			return 0, s.refuse("pending", r.Err)
		}
	}
	counts, _ := s.cachedCounts()
	return counts[queue], nil
}

// cachedCounts returns the last count of pending jobs, and whether it is younger than pendingMaxAge.
func (s *Service) cachedCounts() (map[work.QueueName]int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingCounts, s.pendingCounts != nil && s.Now().Sub(s.countedAt).Abs() < pendingMaxAge
}

// refreshCounts counts the pending jobs of all queues.
func (s *Service) refreshCounts(ctx context.Context) error {
	startedAt, began := s.Now(), time.Now()
	ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	counts, ownerErr := s.Owner.Pending(ownerCtx)
	cancel()
	if ownerErr != nil {
		ownerTook := time.Since(began)
		var err error
		counts, err = s.countUnfinished(ctx)
		s.Log.Info().Dur("took", time.Since(began)).Dur("leader-took", ownerTook).AnErr("leader", ownerErr).Err(err).
			Msg("intake: pending jobs counted in the store")
		if err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCounts, s.countedAt = counts, startedAt
	return nil
}

// countUnfinished counts the stored jobs without a final state. This includes running jobs, so it is used only when the owner
// does not answer.
func (s *Service) countUnfinished(ctx context.Context) (map[work.QueueName]int, error) {
	if err := s.outageError(); err != nil {
		return nil, err
	}
	jobs, _, err := kv.List(ctx, s.Store, work.JobPrefix)
	if err != nil {
		return nil, err
	}
	records, _, err := kv.List(ctx, s.Store, work.ProgressPrefix)
	if err != nil {
		return nil, err
	}
	ended := map[string]bool{}
	for _, record := range records {
		progress, err := work.Decode[work.Progress](record.Value)
		ended[record.Key] = err == nil && progress.State.Final()
	}
	counts := map[work.QueueName]int{}
	for _, item := range jobs {
		id, cancel := work.SplitJobKey(item.Key)
		if cancel || ended[work.ProgressKey(id)] {
			continue
		}
		job, err := work.Decode[work.Job](item.Value)
		if err != nil {
			s.Log.Warn().Err(err).Str("job", string(id)).Msg("intake: job record cannot be decoded, ignored")
			continue
		}
		counts[job.Queue]++
	}
	return counts, nil
}
