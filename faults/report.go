package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
	"github.com/rotisserie/eris"
)

// Labels that tie a spec to a row of the matrix.
const (
	// labelRow marks a spec that runs with the mechanism on.
	labelRow = "row:"
	// labelOff marks a spec that runs with the mechanism off and expects the check to report the violation.
	labelOff = "off:"
)

// Verdict is the result of a row.
type Verdict string

// Verdicts of a row.
const (
	VerdictHeld     Verdict = "held"
	VerdictViolated Verdict = "violated"
	VerdictNotRun   Verdict = "not run"
)

// Result is a row with what its specs showed.
type Result struct {
	Row
	Verdict Verdict
	// Specs are the full names of the specs that ran.
	Specs []string
	// Failures are the full names of those that failed.
	Failures []string
	// SeenToFail is true when a spec with the mechanism off showed that the check reports the violation.
	SeenToFail bool
	// Known is true when the row stands in KNOWN-RED.txt.
	Known  bool
	Reason string
}

// ReadReport reads a JSON report of ginkgo; it returns the specs and the random seed of the run.
func ReadReport(path string) (specs types.SpecReports, seed int64, err error) {
	data, err := os.ReadFile(path) //nolint:gosec // The path is the program's own.
	if err != nil {
		return nil, 0, eris.Wrap(err, "reading the report of the specs")
	}
	var reports []types.Report
	if err := json.Unmarshal(data, &reports); err != nil {
		return nil, 0, eris.Wrap(err, "decoding the report of the specs")
	}
	for _, report := range reports {
		specs = append(specs, report.SpecReports...)
		seed = report.SuiteConfig.RandomSeed
	}
	return specs, seed, nil
}

// Judge gives each row its verdict; knownRed holds the row ids of KNOWN-RED.txt.
func Judge(rows []Row, specs types.SpecReports, knownRed map[string]bool) []Result {
	byRow, byOff := index(specs, labelRow), index(specs, labelOff)
	results := make([]Result, 0, len(rows))
	for _, row := range rows {
		result := Result{Row: row, Verdict: VerdictNotRun, Reason: row.NotRun, Known: knownRed[row.ID]}
		for _, spec := range byRow[row.ID] {
			result.add(spec)
		}
		for _, spec := range byOff[row.ID] {
			if spec.State.Is(types.SpecStatePassed) {
				result.SeenToFail = true
				continue
			}
			result.Verdict = VerdictViolated
			result.Failures = append(result.Failures, spec.FullText())
		}
		if result.Verdict == VerdictNotRun && result.Reason == "" {
			result.Reason = "no spec ran"
		}
		results = append(results, result)
	}
	return results
}

func (r *Result) add(spec types.SpecReport) {
	switch {
	case spec.State.Is(types.SpecStateFailureStates):
		r.Verdict = VerdictViolated
		r.Failures = append(r.Failures, spec.FullText())
	case spec.State.Is(types.SpecStatePassed):
		if r.Verdict == VerdictNotRun {
			r.Verdict = VerdictHeld
		}
		r.Specs = append(r.Specs, spec.FullText())
	}
}

func index(specs types.SpecReports, prefix string) map[string][]types.SpecReport {
	found := map[string][]types.SpecReport{}
	for _, spec := range specs {
		for _, label := range spec.Labels() {
			if id, ok := strings.CutPrefix(label, prefix); ok {
				id = strings.TrimSpace(id)
				found[id] = append(found[id], spec)
			}
		}
	}
	return found
}
