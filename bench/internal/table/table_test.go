package table_test

import (
	"strings"
	"testing"

	"peridotgw.example/peridotgw/bench/internal/table"
)

// Guards against a median or range that is taken from the wrong values.
func TestSummarize(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []float64
		want   string
	}{
		{"none", nil, "0"},
		{"one", []float64{3}, "3"},
		{"odd", []float64{9, 1, 5}, "5 (1..9)"},
		{"even", []float64{4, 1, 2, 9}, "3 (1..9)"},
		{"digits", []float64{0.00123456}, "0.001235"},
		{"large", []float64{123456}, "123456"},
		{"negative", []float64{-1.5}, "-1.5"},
		{"rounds to zero", []float64{0.0000000004}, "0"},
	} {
		if got := table.Summarize(c.values).String(); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against cells that end up under another heading.
func TestPrint(t *testing.T) {
	measurement := table.New("Measure", "name", "value")
	measurement.Add("a", 1.5)
	measurement.Add("b", 20)
	measurement.Note("remark %d", 1)
	var out strings.Builder
	if err := measurement.Print(&out); err != nil {
		t.Fatal(err)
	}
	want := "\n## Measure\n\nname  value\na     1.5\nb     20\n- remark 1\n"
	if out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}
