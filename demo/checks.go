package main

import (
	"fmt"

	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// checkRequests compares the outcomes that callers received with what the endpoints ran, and returns one line per violation.
func checkRequests(results []requestResult, runs map[model.RequestID]int) []string {
	var violations []string
	report := func(promise string, r requestResult, text string) {
		violations = append(violations, fmt.Sprintf("%s: request %s (%s) %s", promise, r.id, r.phase, text))
	}
	for _, r := range results {
		n := runs[r.id]
		if r.wrongAnswer {
			report("P4", r, "got the answer of another request")
		}
		if !r.idempotent && n > 1 {
			report("P6", r, fmt.Sprintf("ran %d times", n))
		}
		switch r.outcome {
		case reply.OutcomeRefused, outcomeUnreachable:
			if n > 0 {
				report("P5", r, fmt.Sprintf("was %s (%s) and ran %d times", r.outcome, r.reason, n))
			}
		case reply.OutcomeDone, reply.OutcomeFailed:
			if n == 0 {
				report("P5", r, fmt.Sprintf("was %s (%s) and did not run", r.outcome, r.reason))
			}
		}
	}
	return violations
}

// checkGracefulStop returns one violation per request of the phase that was not done: a graceful stop must not cause failed,
// refused or lost requests.
func checkGracefulStop(results []requestResult, phase string) []string {
	var violations []string
	for _, r := range results {
		if r.phase != phase || r.outcome == reply.OutcomeDone {
			continue
		}
		violations = append(violations, fmt.Sprintf("P8: request %s (%s) was %s (%s): %s", r.id, r.phase, r.outcome, r.reason, r.message))
	}
	return violations
}
