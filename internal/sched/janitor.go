package sched

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Interval, rate and key of the removal of old records.
const (
	janitorInterval         = time.Hour
	janitorDeletesPerSecond = 5
	// janitorKey is outside /owner/, so that it cannot collide with the key of a data centre.
	janitorKey = "/role/janitor"
)

// runJanitor periodically removes the records of jobs that ended long ago. Only the instance that holds janitorKey does so.
func (m *Manager) runJanitor(ctx context.Context) error {
	limiter := rate.NewLimiter(janitorDeletesPerSecond, 1)
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.stopping:
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := m.removeOldRecords(ctx, limiter); err != nil {
			m.Log.Warn().Err(err).Msg("sched: removing old job records failed")
		}
	}
}

func (m *Manager) removeOldRecords(ctx context.Context, limiter *rate.Limiter) error {
	config := m.Current()
	if config == nil {
		return nil
	}
	if _, err := m.Acquire(ctx, janitorKey); err != nil {
		return nil //nolint:nilerr // Another instance holds the role.
	}
	wait := func(ctx context.Context) error {
		if _, valid := m.Token(janitorKey); !valid {
			return errOwnershipInvalid
		}
		return limiter.Wait(ctx)
	}
	var errs []error
	for _, dc := range slices.Sorted(maps.Keys(config.DataCentres)) {
		removed, err := m.Jobs.RemoveEnded(ctx, dc, time.Now(), wait)
		errs = append(errs, err)
		if removed > 0 {
			m.Log.Info().Str("data-centre", string(dc)).Int("records", removed).Msg("sched: old job records removed")
		}
	}
	if m.CleanOthers != nil {
		errs = append(errs, m.CleanOthers(ctx, limiter))
	}
	return errors.Join(append(errs, m.Release(ctx, janitorKey))...)
}
