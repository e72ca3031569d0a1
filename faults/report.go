package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
	"github.com/rotisserie/eris"
)

// Verdict is the result of a row.
type Verdict string

// Verdicts of a row.
const (
	VerdictHeld     Verdict = "held"
	VerdictViolated Verdict = "violated"
	VerdictNotRun   Verdict = "not run"
)

// Result is a row with the results of its specs.
type Result struct {
	Row
	Verdict Verdict
	// Specs are the full names of the specs that ran.
	Specs []string
	// Failures are the full names of the specs that failed.
	Failures []string
	// CheckVerified is true when a spec with the mechanism off has shown that the check reports the violation.
	CheckVerified bool
	// KnownFailure is true when the row is listed in KNOWN-RED.txt.
	KnownFailure bool
	// Reason says why the row was not run.
	Reason string

	// incomplete is true when a referenced spec does not exist or was skipped.
	incomplete bool
}

// Spec is one spec of a report with the name of its package.
type Spec struct {
	Package string
	types.SpecReport
}

// matches reports whether a reference of the form "package/text" names the spec.
func (s Spec) matches(reference string) bool {
	pkg, text, found := strings.Cut(reference, "/")
	return found && pkg == s.Package && strings.Contains(s.FullText(), text)
}

// ReadReport reads a JSON report of ginkgo and returns the specs and the random seed of the run.
func ReadReport(path string) (specs []Spec, seed int64, err error) {
	data, err := os.ReadFile(path) //nolint:gosec // The path is the program's own.
	if err != nil {
		return nil, 0, eris.Wrap(err, "reading the report of the specs")
	}
	var reports []types.Report
	if err := json.Unmarshal(data, &reports); err != nil {
		return nil, 0, eris.Wrap(err, "decoding the report of the specs")
	}
	for _, report := range reports {
		for _, spec := range report.SpecReports.WithLeafNodeType(types.NodeTypeIt) {
			specs = append(specs, Spec{Package: filepath.Base(report.SuitePath), SpecReport: spec})
		}
		seed = report.SuiteConfig.RandomSeed
	}
	return specs, seed, nil
}

// EvaluateRows determines the verdict of each row; knownRed holds the row ids listed in KNOWN-RED.txt.
func EvaluateRows(rows []Row, specs []Spec, knownRed map[string]bool) []Result {
	results := make([]Result, 0, len(rows))
	for _, row := range rows {
		result := Result{Row: row, Verdict: VerdictNotRun, Reason: row.NotRun, KnownFailure: knownRed[row.ID]}
		for _, reference := range row.Specs {
			result.addSpecs(specsMatching(specs, reference), reference, false)
		}
		for _, reference := range row.Off {
			result.addSpecs(specsMatching(specs, reference), reference, true)
		}
		if result.Verdict == VerdictNotRun && result.Reason == "" {
			result.Reason = "no spec yet"
		}
		results = append(results, result)
	}
	return results
}

// addSpecs adds the results of the specs that match one reference; off is true for specs with the mechanism off. A reference
// that matches no spec leaves the row not run, so that a renamed spec is detected.
func (r *Result) addSpecs(specs []Spec, reference string, off bool) {
	if len(specs) == 0 {
		r.incomplete = true
		r.Reason = "no spec matches " + reference
	}
	for _, spec := range specs {
		switch {
		case spec.State.Is(types.SpecStateFailureStates):
			r.Verdict = VerdictViolated
			r.Failures = append(r.Failures, spec.Package+": "+spec.FullText())
		case !spec.State.Is(types.SpecStatePassed):
			r.incomplete = true
			r.Reason = "skipped: " + spec.FullText()
		case off:
			r.CheckVerified = true
		default:
			r.Specs = append(r.Specs, spec.Package+": "+spec.FullText())
		}
	}
	if r.Verdict == VerdictViolated {
		return
	}
	r.Verdict = VerdictNotRun
	if len(r.Specs) > 0 && !r.incomplete {
		r.Verdict = VerdictHeld
	}
}

func specsMatching(specs []Spec, reference string) []Spec {
	var matching []Spec
	for _, spec := range specs {
		if spec.matches(reference) {
			matching = append(matching, spec)
		}
	}
	return matching
}
