package gangs

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/bench/internal/table"
)

// maxParallel limits the runs at a time, because the machine is shared.
const maxParallel = 4

// Measure starts the same gangs under the same faults with the reserve step and without it.
func Measure(ctx context.Context, gangs int, seeds []uint64) ([]*table.Table, error) {
	t := table.New("Gangs: partial starts and wasted accelerator time", "faults", "variant", "gangs", "started whole", "partial starts",
		"wasted by partial starts, acc. s", "held by reservations in vain, acc. s", "lost in sum, acc. s", "time to start median ms", "p99 ms")
	for _, mix := range Mixes() {
		for _, undo := range []bool{false, true} {
			results := make([]*Result, len(seeds))
			group, groupCtx := errgroup.WithContext(ctx)
			group.SetLimit(maxParallel)
			for i, seed := range seeds {
				group.Go(func() error {
					if err := groupCtx.Err(); err != nil {
						return err
					}
					result, err := Run(groupCtx, mix, gangs, seed, undo)
					results[i] = result
					if err != nil {
						return fmt.Errorf("gangs, faults %s, seed %d: %w", mix.Name, seed, err)
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				return nil, err
			}
			addRow(t, mix, undo, results)
		}
	}
	t.Note("A member that dies does so while the gang starts, in both variants; a start without reserving is shorter and meets fewer deaths. Time that a gang runs whole is not counted, whatever ends it.")
	t.Note("Where start and undo is better: its starts take one call less, and refusals cost it less accelerator time in sum, because a task that was started in vain is undone as fast as a reservation is released.")
	t.Note("Gangs of %d to %d tasks with %d accelerators each, one at a time on %d workers; figures are the median (lowest..highest) over the seeds. The order of calls at one time is not seeded, so counts may differ a little between runs.",
		smallestGang, largestGang, acceleratorsPerWorker, workers)
	return []*table.Table{t}, nil
}

func addRow(t *table.Table, mix FaultMix, undo bool, results []*Result) {
	over := func(value func(*Result) float64) table.Spread {
		values := make([]float64, 0, len(results))
		for _, result := range results {
			values = append(values, value(result))
		}
		return table.Summarize(values)
	}
	variant := "reserve first"
	if undo {
		variant = "start and undo"
	}
	t.Add(mix.Name, variant, over(func(r *Result) float64 { return float64(r.Gangs) }),
		over(func(r *Result) float64 { return float64(r.Started) }), over(func(r *Result) float64 { return float64(r.Partial) }),
		over(func(r *Result) float64 { return r.Wasted }), over(func(r *Result) float64 { return r.Reserved }),
		over(func(r *Result) float64 { return r.Wasted + r.Reserved }),
		over(func(r *Result) float64 { return float64(r.Start.ValueAtQuantile(50)) / 1000 }),
		over(func(r *Result) float64 { return float64(r.Start.ValueAtQuantile(99)) / 1000 }))
}
