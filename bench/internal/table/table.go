package table

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Table has the results of one measurement: every row has one cell per column. Cells are strings, booleans, integers,
// float64 or Spread. It is not safe for concurrent use.
type Table struct {
	Title   string   `json:"title"`
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
	// Notes say what the measurement leaves out and where a baseline is better.
	Notes []string `json:"notes,omitempty"`
}

// New returns a table without rows.
func New(title string, columns ...string) *Table {
	return &Table{Title: title, Columns: columns, Rows: [][]any{}}
}

// Add appends a row.
func (t *Table) Add(cells ...any) { t.Rows = append(t.Rows, cells) }

// Note appends a formatted note that is printed below the table.
func (t *Table) Note(format string, args ...any) {
	t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
}

// Spread is the median and the range of one value over several seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Summarize returns the spread of values, or the zero Spread if there are none.
func Summarize(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	median := sorted[len(sorted)/2]
	if len(sorted)%2 == 0 {
		median = (sorted[len(sorted)/2-1] + median) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1]}
}

// String returns the median, followed by the range unless all values are equal.
func (s Spread) String() string {
	if s.Min == s.Max {
		return formatNumber(s.Median)
	}
	return fmt.Sprintf("%s (%s..%s)", formatNumber(s.Median), formatNumber(s.Min), formatNumber(s.Max))
}

// formatNumber returns a value without an exponent, with four significant digits and at most six decimals. It keeps all
// digits before the decimal point.
func formatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := max(0, 3-int(math.Floor(math.Log10(math.Abs(value)))))
	text := strconv.FormatFloat(value, 'f', min(digits, 6), 64)
	if digits == 0 {
		return text
	}
	for text[len(text)-1] == '0' {
		text = text[:len(text)-1]
	}
	if text[len(text)-1] == '.' {
		text = text[:len(text)-1]
	}
	return text
}

// Print writes the table as aligned text.
func (t *Table) Print(to io.Writer) error {
	if _, err := fmt.Fprintf(to, "\n## %s\n\n", t.Title); err != nil {
		return fmt.Errorf("printing table %q: %w", t.Title, err)
	}
	writer := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	lines := make([]string, 0, len(t.Rows)+1)
	header := make([]any, 0, len(t.Columns))
	for _, column := range t.Columns {
		header = append(header, column)
	}
	lines = append(lines, formatRow(header))
	for _, row := range t.Rows {
		lines = append(lines, formatRow(row))
	}
	for _, text := range lines {
		if _, err := fmt.Fprintln(writer, text); err != nil {
			return fmt.Errorf("printing table %q: %w", t.Title, err)
		}
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("printing table %q: %w", t.Title, err)
	}
	for _, note := range t.Notes {
		if _, err := fmt.Fprintf(to, "- %s\n", note); err != nil {
			return fmt.Errorf("printing table %q: %w", t.Title, err)
		}
	}
	return nil
}

func formatRow(cells []any) string {
	text := ""
	for i, cell := range cells {
		if i > 0 {
			text += "\t"
		}
		if value, isFloat := cell.(float64); isFloat {
			text += formatNumber(value)
			continue
		}
		text += fmt.Sprint(cell)
	}
	return text
}

// Report has all results of one run of the command.
type Report struct {
	Command string   `json:"command"`
	Seeds   []uint64 `json:"seeds"`
	Tables  []*Table `json:"tables"`
}

// JSON writes the report as one indented document.
func (r *Report) JSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	return nil
}
