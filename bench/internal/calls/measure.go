package calls

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/internal/route"
)

// maxParallel limits the runs at a time, because the machine is shared.
const maxParallel = 4

// Rules returns the design, which is first, and its baselines.
func Rules() []Rule {
	stateless := func(rule func([]route.Candidate) int) func() func([]route.Candidate) int {
		return func() func([]route.Candidate) int { return rule }
	}
	return []Rule{
		{Name: "design"},
		{Name: "random", SelectEndpoint: stateless(route.Random)},
		{Name: "weighted round robin", SelectEndpoint: route.WeightedRoundRobin},
		{Name: "least outstanding", SelectEndpoint: stateless(route.LeastOutstanding)},
	}
}

// Measure compares endpoint selection and queueing at several loads, and runs with and without the retry budget while all
// endpoints fail.
func Measure(ctx context.Context, seeds []uint64, quick bool) ([]*table.Table, error) {
	arrivals := 8 * time.Second
	if quick {
		arrivals = 4 * time.Second
	}
	selection, err := measureSelection(ctx, seeds, arrivals)
	if err != nil {
		return nil, err
	}
	budget, err := measureBudget(ctx, seeds, arrivals)
	if err != nil {
		return nil, err
	}
	return append(selection, budget), nil
}

// runAll runs all configurations with every seed; results are by configuration and seed.
func runAll(ctx context.Context, configs []Config, seeds []uint64) ([][]*Result, error) {
	results := make([][]*Result, len(configs))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallel)
	for i, config := range configs {
		results[i] = make([]*Result, len(seeds))
		for s, seed := range seeds {
			config.Seed = seed
			group.Go(func() error {
				if err := groupCtx.Err(); err != nil {
					return err
				}
				result, err := Run(config)
				results[i][s] = result
				if err != nil {
					return fmt.Errorf("requests, rule %s, seed %d: %w", config.Rule.Name, config.Seed, err)
				}
				return nil
			})
		}
	}
	return results, group.Wait()
}

func measureSelection(ctx context.Context, seeds []uint64, arrivals time.Duration) ([]*table.Table, error) {
	var configs []Config
	for _, slow := range []bool{false, true} {
		for _, load := range []float64{0.6, 0.85, 1.1} {
			for _, rule := range Rules() {
				configs = append(configs, Config{Rule: rule, Load: load, Slow: slow, Arrivals: arrivals})
			}
			if load > 1 && !slow {
				configs = append(configs,
					Config{Rule: Rule{Name: "design, no overload control", NoOverloadControl: true}, Load: load, Slow: slow, Arrivals: arrivals})
			}
		}
	}
	results, err := runAll(ctx, configs, seeds)
	if err != nil {
		return nil, err
	}
	latency := table.New("Requests: latency by class, 50 endpoints of 8 slots, 9 instances", "one endpoint 5x slow", "load", "rule",
		"class", "median ms", "p99 ms", "p99.9 ms", "refused", "failed", "p99 / design")
	sends := table.New("Requests: sends and full endpoints", "one endpoint 5x slow", "load", "rule", "sends per request", "refused by a full endpoint")
	var design []*Result
	for i, config := range configs {
		if config.Rule.Name == Rules()[0].Name {
			design = results[i]
		}
		addLatency(latency, config, results[i], design)
		sends.Add(config.Slow, config.Load, config.Rule.Name, spread(results[i], sendsPerRequest),
			spread(results[i], func(r *Result) float64 { return float64(r.RefusedFull) / float64(max(1, r.Sends)) }))
	}
	noteRefusals(sends, configs, results)
	latency.Note("Latency is that of answered requests, queueing included; refused and failed are shares of all requests. The share of requests and the mean service time: check 30%%, 60 ms; scan 60%%, 100 ms; tally 10%%, 200 ms. Figures are the median (lowest..highest) over the seeds.")
	return []*table.Table{latency, sends}, nil
}

func addLatency(t *table.Table, config Config, results, design []*Result) {
	for _, c := range requestClasses() {
		quantile := func(q float64) func(*Result) float64 {
			return func(r *Result) float64 { return float64(r.Classes[c.id].Latency.ValueAtQuantile(q)) / 1000 }
		}
		share := func(count func(*ClassResult) int) func(*Result) float64 {
			return func(r *Result) float64 {
				return float64(count(r.Classes[c.id])) / float64(max(1, r.Classes[c.id].Requests))
			}
		}
		var ratios []float64
		for s, result := range results {
			if base := quantile(99)(design[s]); base > 0 {
				ratios = append(ratios, quantile(99)(result)/base)
			}
		}
		t.Add(config.Slow, config.Load, config.Rule.Name, string(c.id), spread(results, quantile(50)), spread(results, quantile(99)),
			spread(results, quantile(99.9)), spread(results, share(func(r *ClassResult) int { return r.Refused })),
			spread(results, share(func(r *ClassResult) int { return r.Failed })), table.Summarize(ratios))
	}
}

// noteRefusals adds the reasons for which the design refuses requests as notes.
func noteRefusals(t *table.Table, configs []Config, results [][]*Result) {
	for i, config := range configs {
		if config.Rule.Name != Rules()[0].Name {
			continue
		}
		for _, c := range requestClasses() {
			reasons, requests := map[string]int{}, 0
			for _, result := range results[i] {
				requests += result.Classes[c.id].Requests
				for reason, count := range result.Classes[c.id].Reasons {
					reasons[reason] += count
				}
			}
			for _, reason := range slices.Sorted(maps.Keys(reasons)) {
				t.Note("design, load %v, slow endpoint %v: %d of %d %s requests refused as %s.",
					config.Load, config.Slow, reasons[reason], requests, c.id, reason)
			}
		}
	}
}

func measureBudget(ctx context.Context, seeds []uint64, arrivals time.Duration) (*table.Table, error) {
	var configs []Config
	for _, fault := range []fault{faultError, faultCut} {
		for _, rule := range []Rule{{Name: "retry budget"}, {Name: "no budget", NoRetryBudget: true}} {
			configs = append(configs, Config{Rule: rule, Load: 0.3, Fault: fault, Arrivals: arrivals})
		}
	}
	results, err := runAll(ctx, configs, seeds)
	if err != nil {
		return nil, err
	}
	t := table.New("Requests: sends per request with all endpoints failing (bound 1.2)", "fault", "variant", "requests sent", "sends per request")
	for i, config := range configs {
		t.Add(string(config.Fault), config.Rule.Name, spread(results[i], func(r *Result) float64 { return float64(r.SentRequests) }),
			spread(results[i], sendsPerRequest))
	}
	t.Note("The offered load is 30%% of the capacity. Requests that are refused before the first send are not counted.")
	return t, nil
}

func sendsPerRequest(r *Result) float64 { return float64(r.Sends) / float64(max(1, r.SentRequests)) }

func spread(results []*Result, value func(*Result) float64) table.Spread {
	values := make([]float64, 0, len(results))
	for _, result := range results {
		values = append(values, value(result))
	}
	return table.Summarize(values)
}
