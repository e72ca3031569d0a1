package calls

import (
	"math"
	"testing"
	"time"
)

// Guards against an offered load that is not the stated share of the capacity.
func TestRate(t *testing.T) {
	// Mean time on a slot: 0.3 x 61 ms + 0.6 x 101 ms + 0.1 x 201 ms = 99 ms; 400 slots serve 4,040.4 requests/s.
	if got := rate(0.5); math.Abs(got-2020.2) > 0.1 {
		t.Errorf("rate at half load is %.1f, want 2020.2", got)
	}
}

// Guards against requests or sends that are not counted.
func TestRunCountsAllRequests(t *testing.T) {
	result, err := Run(Config{Rule: Rules()[0], Load: 0.5, Arrivals: 3 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	requests, ended := 0, 0
	for _, c := range result.Classes {
		requests += c.Requests
		ended += int(c.Latency.TotalCount()) + c.Refused + c.Failed
	}
	if requests != ended || requests < 1500 || requests > 2600 {
		t.Errorf("%d requests arrived and %d ended in the measured second, want about 2,020 of both", requests, ended)
	}
	if result.Sends < result.SentRequests {
		t.Errorf("%d sends for %d requests", result.Sends, result.SentRequests)
	}
}

// Guards against a comparison of the retry budget in which no retries take place.
func TestBudgetBounds(t *testing.T) {
	sends := func(rule Rule) float64 {
		result, err := Run(Config{Rule: rule, Load: 0.2, Fault: faultError, Arrivals: 3 * time.Second, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		return sendsPerRequest(result)
	}
	if with, without := sends(Rule{}), sends(Rule{NoRetryBudget: true}); with > 1.3 || without < 2 {
		t.Errorf("%.2f sends per request with the budget and %.2f without, want near 1.1 and over 2", with, without)
	}
}
