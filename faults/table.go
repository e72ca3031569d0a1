package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Counts are the numbers of rows by verdict; KnownRed rows are also counted as Violated.
type Counts struct{ Held, Violated, NotRun, KnownRed int }

// CountVerdicts counts the rows by verdict; violated rows listed in KNOWN-RED.txt are also counted as known red.
func CountVerdicts(results []Result) Counts {
	var counts Counts
	for _, result := range results {
		switch result.Verdict {
		case VerdictHeld:
			counts.Held++
		case VerdictViolated:
			counts.Violated++
			if result.KnownFailure {
				counts.KnownRed++
			}
		case VerdictNotRun:
			counts.NotRun++
		}
	}
	return counts
}

// PrintTable writes the table for a terminal.
func PrintTable(w io.Writer, results []Result, seed int64) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"PROMISE\tFAULT\tSTEP\tVERDICT\tCHECK SEEN TO FAIL\tNOTE"}
	for _, r := range results {
		lines = append(lines, strings.Join([]string{
			r.Promise, r.Fault, r.Step, string(r.Verdict), yesNo(r.CheckVerified), rowNote(r),
		}, "\t"))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return eris.Wrap(err, "writing the table")
		}
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "writing the table")
	}
	counts := CountVerdicts(results)
	_, err := fmt.Fprintf(w, "seed %d\n%d held, %d violated, %d not run\n", seed, counts.Held, counts.Violated, counts.NotRun)
	return eris.Wrap(err, "writing the counts")
}

// WriteMarkdown writes the tables of docs/faults.md.
func WriteMarkdown(w io.Writer, results []Result) error {
	lines := []string{
		"| promise | fault | step | verdict | check seen to fail | mechanism | spec |",
		"|---|---|---|---|---|---|---|",
	}
	for _, r := range results {
		if r.Verdict == VerdictNotRun {
			continue
		}
		lines = append(lines, markdownRow(r.Promise, r.Fault, r.Step, string(r.Verdict), yesNo(r.CheckVerified), r.Mechanism,
			strings.Join(append(r.Specs, r.Failures...), "; ")))
	}
	lines = append(lines, "", "Not proved yet:", "", "| promise | fault | step | reason |", "|---|---|---|---|")
	for _, r := range results {
		if r.Verdict == VerdictNotRun {
			lines = append(lines, markdownRow(r.Promise, r.Fault, r.Step, r.Reason))
		}
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return eris.Wrap(err, "writing the page")
}

func markdownRow(cells ...string) string { return "| " + strings.Join(cells, " | ") + " |" }

func rowNote(r Result) string {
	switch {
	case r.Verdict == VerdictViolated && r.KnownFailure:
		return "known red: " + strings.Join(r.Failures, "; ")
	case r.Verdict == VerdictViolated:
		return strings.Join(r.Failures, "; ")
	default:
		return r.Reason
	}
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
