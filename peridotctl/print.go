package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
)

// print writes value as JSON, or the rows as a table; the first row is the heading.
func (s *session) print(value any, rows [][]string) error {
	if s.format == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(value); err != nil {
			return eris.Wrap(err, "writing output")
		}
		return nil
	}
	table := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return eris.Wrap(err, "writing output")
		}
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "writing output")
	}
	return nil
}

// printNote writes a line for the operator to standard error, so that standard output holds only the result. A line that
// cannot be written makes a successful command fail, because it may hold the id that makes a repeat safe.
func (a *app) printNote(format string, args ...any) {
	if _, err := fmt.Fprintf(a.err, format+"\n", args...); err != nil {
		a.lostOutput = true
	}
}

func (s *session) printResult(result client.Result) error {
	rows := [][]string{{"REVISION", "CHANGE", "KIND", "NAME"}}
	for _, ref := range result.Changed {
		rows = append(rows, []string{formatNumber(result.Revision), string(result.ChangeID), string(ref.Kind), ref.Name})
	}
	if len(result.Changed) == 0 {
		rows = append(rows, []string{formatNumber(result.Revision), string(result.ChangeID), "-", "-"})
	}
	if result.Already {
		s.printNote("the change had taken effect already")
	}
	for _, warning := range result.Warnings {
		s.printNote("warning: %s", warning)
	}
	return s.print(result, rows)
}

// printJobs prints a table of the records, or the whole records as JSON.
func (s *session) printJobs(records []client.JobRecord) error {
	rows := [][]string{{"JOB", "CUSTOMER", "CLASS", "SHAPE", "STATE", "DATA-CENTRE", "SUBMITTED", "STARTED", "ENDED", "REASON"}}
	raw := make([]json.RawMessage, 0, len(records))
	for _, r := range records {
		rows = append(rows, []string{
			string(r.Spec.ID), string(r.Spec.Customer), string(r.Spec.Class), string(r.Spec.Shape), r.State, string(r.DataCentre),
			formatTime(r.SubmittedAt), formatTime(r.StartedAt), formatTime(r.EndedAt), dashIfEmpty(string(r.Reason)),
		})
		raw = append(raw, r.Raw)
	}
	return s.print(raw, rows)
}

func formatNumber[N ~uint64 | ~int](n N) string { return fmt.Sprint(n) }

// formatTime returns t in UTC; the zero time gives a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
