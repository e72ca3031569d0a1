package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// printSummary prints the counts per outcome, the retries and refusals by reason, the decisions about one job and one request,
// and the violations.
func (s *scenario) printSummary(ctx context.Context) {
	fmt.Println("\n  outcomes per class (from the callers):")
	for _, line := range outcomeLines(s.results) {
		fmt.Println("    " + line)
	}
	fmt.Println("  refusals and retries by reason (from the instances):")
	for _, line := range s.counters.lines() {
		fmt.Println("    " + line)
	}
	s.explainJob(ctx, "moving-1")
	s.explainRequest(ctx)
	if len(s.violations) == 0 {
		fmt.Printf("  %s: no violations of the promises were found\n", s.deployment.name)
		return
	}
	fmt.Printf("  %s: %d violations of the promises were found:\n", s.deployment.name, len(s.violations))
	for _, text := range s.violations[:min(len(s.violations), 20)] {
		fmt.Println("    " + text)
	}
}

func outcomeLines(results []requestResult) []string {
	type group struct {
		class   model.RequestClassID
		outcome reply.Outcome
		reason  reply.Reason
	}
	counts := map[group]int{}
	latency := map[model.RequestClassID][]time.Duration{}
	for _, r := range results {
		counts[group{r.class, r.outcome, r.reason}]++
		if r.outcome == reply.OutcomeDone {
			latency[r.class] = append(latency[r.class], r.took)
		}
	}
	var lines []string
	for g, n := range counts {
		lines = append(lines, fmt.Sprintf("%-14s %-12s %-22s %6d", g.class, g.outcome, g.reason, n))
	}
	for class, took := range latency {
		slices.Sort(took)
		lines = append(lines, fmt.Sprintf("%-14s latency      median %s, 99th percentile %s", class,
			took[len(took)/2].Round(100*time.Microsecond), took[len(took)*99/100].Round(100*time.Microsecond)))
	}
	slices.Sort(lines)
	return lines
}

func (s *scenario) explainJob(ctx context.Context, id model.JobID) {
	events, err := s.operator.ExplainJob(ctx, id)
	if err != nil {
		s.addViolation("record", "job %s cannot be explained: %v", id, err)
		return
	}
	fmt.Printf("  explain job %s:\n", id)
	printEvents(events)
}

// explainRequest prints the recorded decisions about the request that was refused.
func (s *scenario) explainRequest(ctx context.Context) {
	// Instances write decisions to the store once a second.
	time.Sleep(settleDelay)
	events, err := s.operator.ExplainRequest(ctx, s.reused.customer, s.reused.id)
	if err != nil || len(events) == 0 {
		s.addViolation("record", "request %s cannot be explained: %v, %d events", s.reused.id, err, len(events))
		return
	}
	fmt.Printf("  explain request %s of %s:\n", s.reused.id, s.reused.customer)
	printEvents(events)
}

func printEvents(events []client.Event) {
	for _, e := range events {
		var inputs []string
		for _, name := range slices.Sorted(maps.Keys(e.Inputs)) {
			inputs = append(inputs, name+"="+e.Inputs[name])
		}
		fmt.Printf("    %s %s revision %d: %s %s %s\n", e.At.Format("15:04:05.000"), e.Instance, e.Revision, e.Action, e.Reason, strings.Join(inputs, " "))
	}
}

// counters holds the sums of the instances' refusal and retry counters, across restarts.
type counters struct {
	values map[string]float64
	line   *regexp.Regexp // matches one refusal or retry counter in the text of /metrics
}

func newCounters() *counters {
	return &counters{
		values: map[string]float64{},
		line:   regexp.MustCompile(`^(peridot_(?:refusals|retries)_total\{[^}]*\}) (\S+)$`),
	}
}

// addInstance adds the counters of a running instance. What an instance counts between this call and its end is lost.
func (c *counters) addInstance(ctx context.Context, d *deployment, inst *instance) {
	if !inst.process.running() {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.process.ready["metrics"]+"/metrics", nil)
	if err != nil {
		return
	}
	res, err := d.http.Do(req)
	if err != nil {
		return
	}
	body, err := io.ReadAll(res.Body)
	if errors.Join(err, res.Body.Close()) != nil {
		return
	}
	for _, line := range strings.Split(string(body), "\n") {
		match := c.line.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		if value, err := strconv.ParseFloat(match[2], 64); err == nil {
			c.values[match[1]] += value
		}
	}
}

func (c *counters) lines() []string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		if c.values[name] > 0 {
			lines = append(lines, fmt.Sprintf("%s %.0f", strings.TrimPrefix(name, "peridot_"), c.values[name]))
		}
	}
	if len(lines) == 0 {
		lines = append(lines, "none")
	}
	return lines
}
