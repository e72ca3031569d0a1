package batch

import (
	"context"
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

// Deployment is an example deployment with its configuration objects.
type Deployment struct {
	Name string
	Set  *model.Set
}

// Variant is a placement policy.
type Variant struct {
	Name    string
	Options place.Options
}

// Variants returns the design, which is first, and its baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "design"},
		{Name: "first fit", Options: place.Options{FirstFit: true}},
		{Name: "strict partition", Options: place.Options{NoLending: true}},
	}
}

// maxParallel limits the runs at a time, because the machine is shared.
const maxParallel = 4

// deploymentResults holds the results of one deployment by variant and seed.
type deploymentResults [][]*Result

// Measure runs all variants over the same arrivals for each seed and returns one table per measurement.
func Measure(ctx context.Context, deployments []Deployment, workload Workload, seeds []uint64) ([]*table.Table, error) {
	variants := Variants()
	all := make([]deploymentResults, len(deployments))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallel)
	for d, deployment := range deployments {
		all[d] = make(deploymentResults, len(variants))
		for v, variant := range variants {
			all[d][v] = make([]*Result, len(seeds))
			for s, seed := range seeds {
				group.Go(func() error {
					if err := groupCtx.Err(); err != nil {
						return err
					}
					result, err := Run(deployment.Set, workload, seed, variant.Options)
					all[d][v][s] = result
					if err != nil {
						return fmt.Errorf("%s, %s, seed %d: %w", deployment.Name, variant.Name, seed, err)
					}
					return nil
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return buildTables(deployments, variants, all), nil
}

func buildTables(deployments []Deployment, variants []Variant, all []deploymentResults) []*table.Table {
	completion := table.New("Jobs: completion time by class", "deployment", "class", "policy", "jobs compared",
		"median s", "p99 s", "median / design", "p99 / design")
	waits := table.New("Jobs: time until guaranteed shapes and urgent work start (bounds 6 s and 6.7 s)", "deployment", "policy",
		"reclaims", "reclaim median s", "reclaim max s", "reclaims over 6 s", "urgent starts", "urgent median s", "urgent p99 s",
		"urgent max s", "urgent over 6.7 s", "urgent without quota")
	change := table.New("Jobs: fragmentation, and work while a data centre leaves and returns", "deployment", "policy",
		"fragmentation mean", "fragmentation p95", "held / allowed", "useful / allowed", "lost / allowed", "useful / design", "lost in whole run, acc. hours")
	violations := table.New("Jobs: promises broken, and ends", "deployment", "policy", "two jobs on one accelerator", "partial gangs",
		"starts in a data centre that is out", "reclaims over 6 s", "submitted", "done", "failed", "never started", "preempted", "moved", "largest held / quota")
	for d, deployment := range deployments {
		histograms := completionTimes(all[d])
		for v, variant := range variants {
			results := all[d][v]
			addCompletionRows(completion, deployment, variant, histograms[v], histograms[0])
			waits.Add(deployment.Name, variant.Name,
				sum(results, func(r *Result) int { return int(r.Reclaim.TotalCount()) }),
				spread(results, quantileSeconds(reclaimTimes, 50)), spread(results, quantileSeconds(reclaimTimes, 100)),
				sum(results, func(r *Result) int { return r.Violations.LateReclaims }),
				sum(results, func(r *Result) int { return int(r.Urgent.TotalCount()) }),
				spread(results, quantileSeconds(urgentTimes, 50)), spread(results, quantileSeconds(urgentTimes, 99)), spread(results, quantileSeconds(urgentTimes, 100)),
				sum(results, func(r *Result) int { return r.UrgentLate }), sum(results, func(r *Result) int { return r.OverQuota }))
			change.Add(deployment.Name, variant.Name,
				spread(results, func(r *Result) float64 { return r.Fragmentation.Mean() / 1000 }),
				spread(results, func(r *Result) float64 { return float64(r.Fragmentation.ValueAtQuantile(95)) / 1000 }),
				spread(results, func(r *Result) float64 { return r.Held / r.Available }),
				spread(results, func(r *Result) float64 { return r.Useful / r.Available }),
				spread(results, func(r *Result) float64 { return r.Lost / r.Available }),
				ratioToDesign(results, all[d][0], func(r *Result) float64 { return r.Useful }),
				spread(results, func(r *Result) float64 { return r.LostTotal / 3600 }))
			noteBetterBaseline(change, deployment.Name+", fragmentation mean", variant, ratioToDesign(results, all[d][0], func(r *Result) float64 { return r.Fragmentation.Mean() }))
			noteBetterBaseline(change, deployment.Name+", useful work (inverse)", variant, ratioToDesign(all[d][0], results, func(r *Result) float64 { return r.Useful }))
			noteBetterBaseline(change, deployment.Name+", lost work in the whole run", variant,
				ratioToDesign(results, all[d][0], func(r *Result) float64 { return r.LostTotal }))
			violations.Add(deployment.Name, variant.Name, sum(results, func(r *Result) int { return r.Violations.DoubleAllocations }),
				sum(results, func(r *Result) int { return r.Violations.PartialGangs }),
				sum(results, func(r *Result) int { return r.Violations.StartsOutOfService }),
				sum(results, func(r *Result) int { return r.Violations.LateReclaims }), sum(results, func(r *Result) int { return r.Submitted }),
				sum(results, func(r *Result) int { return r.Done }), sum(results, func(r *Result) int { return r.Failed }),
				sum(results, stuckJobs), sum(results, func(r *Result) int { return r.Preempted }),
				sum(results, func(r *Result) int { return r.Moved }), spread(results, func(r *Result) float64 { return r.MaxQuotaShare }))
		}
	}
	noteCounts(violations, "%s, design: %d times %s never started.", deployments, all, func(r *Result) map[string]int { return r.Stuck })
	noteCounts(waits, "%s, design: %d urgent starts over 6.7 s of %s.", deployments, all,
		func(r *Result) map[string]int { return r.LateUrgentByCause })
	completion.Note("Figures are the median (lowest..highest) over the seeds; ratios compare the same seed. Only jobs that all policies completed are compared, because a policy that leaves jobs out would look better; the last table counts those.")
	change.Note("Fragmentation is sampled every 5 s in each data centre in service, with the physically free accelerators of all variants; the window of the change ends 10 min after the return. Allowed is the capacity in service; work that cannot be moved runs on in the leaving data centre and counts as well.")
	return []*table.Table{completion, waits, change, violations}
}

func stuckJobs(r *Result) int {
	total := 0
	for _, count := range r.Stuck {
		total += count
	}
	return total
}

// noteCounts adds up counts of the design over the seeds and adds a note for each key.
func noteCounts(t *table.Table, format string, deployments []Deployment, all []deploymentResults, of func(*Result) map[string]int) {
	for d, deployment := range deployments {
		counts := map[string]int{}
		for _, result := range all[d][0] {
			for what, count := range of(result) {
				counts[what] += count
			}
		}
		for _, what := range sortedKeys(counts) {
			t.Note(format, deployment.Name, counts[what], what)
		}
	}
}

// classHistograms holds the completion times of one run in milliseconds.
type classHistograms map[model.JobClassID]*hdrhistogram.Histogram

// completionTimes returns the completion times by variant and seed. Only jobs that completed under all variants of the
// seed count.
func completionTimes(all deploymentResults) [][]classHistograms {
	histograms := make([][]classHistograms, len(all))
	for v := range all {
		histograms[v] = make([]classHistograms, len(all[v]))
		for s, result := range all[v] {
			into := classHistograms{}
			histograms[v][s] = into
			for id, took := range result.Completion {
				if slices.ContainsFunc(all, func(other []*Result) bool { return other[s].Completion[id].Time == 0 }) {
					continue
				}
				if into[took.Class] == nil {
					into[took.Class] = histogram()
				}
				// A run ends within a week, the largest value of the histogram, so that this does not fail.
				if err := into[took.Class].RecordValue(max(1, took.Time.Milliseconds())); err != nil {
					continue
				}
			}
		}
	}
	return histograms
}

func addCompletionRows(t *table.Table, deployment Deployment, variant Variant, results, design []classHistograms) {
	for _, class := range sortedKeys(design[0]) {
		count, quantiles, ratios := 0, map[float64][]float64{}, map[float64][]float64{}
		for s := range results {
			if results[s][class] == nil {
				continue
			}
			count += int(results[s][class].TotalCount())
			for _, q := range []float64{50, 99} {
				value := float64(results[s][class].ValueAtQuantile(q)) / 1000
				quantiles[q] = append(quantiles[q], value)
				ratios[q] = append(ratios[q], value*1000/float64(design[s][class].ValueAtQuantile(q)))
			}
		}
		t.Add(deployment.Name, string(class), variant.Name, count, table.Summarize(quantiles[50]), table.Summarize(quantiles[99]),
			table.Summarize(ratios[50]), table.Summarize(ratios[99]))
		for _, q := range []float64{50, 99} {
			noteBetterBaseline(t, fmt.Sprintf("%s, %s, quantile %v", deployment.Name, class, q), variant, table.Summarize(ratios[q]))
		}
	}
}

// noteBetterBaseline adds a note where a baseline is better than the design: in every seed, or only in the median of the
// seeds.
func noteBetterBaseline(t *table.Table, what string, variant Variant, ratio table.Spread) {
	switch {
	case ratio.Max < 1:
		t.Note("%s: %s is better than the design in every seed (%s of it).", what, variant.Name, ratio)
	case ratio.Median < 0.98:
		t.Note("%s: %s is better than the design in the median of the seeds, not in each (%s of it).", what, variant.Name, ratio)
	}
}

func reclaimTimes(r *Result) *hdrhistogram.Histogram { return r.Reclaim }

func urgentTimes(r *Result) *hdrhistogram.Histogram { return r.Urgent }

// quantileSeconds returns a function that reads a quantile in seconds.
func quantileSeconds(of func(*Result) *hdrhistogram.Histogram, quantile float64) func(*Result) float64 {
	return func(r *Result) float64 {
		if of(r) == nil {
			return 0
		}
		return float64(of(r).ValueAtQuantile(quantile)) / 1000
	}
}

func spread(results []*Result, value func(*Result) float64) table.Spread {
	values := make([]float64, 0, len(results))
	for _, result := range results {
		values = append(values, value(result))
	}
	return table.Summarize(values)
}

// ratioToDesign returns the spread of the ratios of results to those of the design with the same seed.
func ratioToDesign(results, design []*Result, value func(*Result) float64) table.Spread {
	values := make([]float64, 0, len(results))
	for i, result := range results {
		if base := value(design[i]); base > 0 {
			values = append(values, value(result)/base)
		}
	}
	return table.Summarize(values)
}

func sum(results []*Result, value func(*Result) int) int {
	total := 0
	for _, result := range results {
		total += value(result)
	}
	return total
}
