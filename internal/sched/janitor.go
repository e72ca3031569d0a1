package sched

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the janitor.
const (
	janitorEvery = time.Hour
	// janitorRate is the largest number of deletes per second.
	janitorRate = 5
	// janitorKey is outside /owner/, so that a data centre of that name cannot take it.
	janitorKey = "/role/janitor"
)

// janitor removes records of jobs that ended long ago, while this instance holds the janitor's role.
func (m *Manager) janitor(ctx context.Context) error {
	limiter := rate.NewLimiter(janitorRate, 1)
	ticker := time.NewTicker(janitorEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.stopping:
			return nil
		case <-ctx.Done():
			return nil
		}
		if err := m.clean(ctx, limiter); err != nil {
			m.Log.Warn().Err(err).Msg("sched: old job records are not removed")
		}
	}
}

func (m *Manager) clean(ctx context.Context, limiter *rate.Limiter) error {
	set := m.Current()
	if set == nil {
		return nil
	}
	if _, err := m.Acquire(ctx, janitorKey); err != nil {
		return nil //nolint:nilerr // Another instance holds the role.
	}
	wait := func(ctx context.Context) error {
		if _, valid := m.Token(janitorKey); !valid {
			return errNotValid
		}
		return limiter.Wait(ctx)
	}
	var errs []error
	for _, dc := range slices.Sorted(maps.Keys(set.DataCentres)) {
		removed, err := m.Jobs.Janitor(ctx, dc, time.Now(), wait)
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
