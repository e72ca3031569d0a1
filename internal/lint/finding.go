package lint

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Level says what a finding means for the operator.
type Level string

// Levels of findings, from the most to the least serious.
const (
	LevelError      Level = "error"         // it would be refused, or could not be read
	LevelNever      Level = "never-matches" // an entry without any effect
	LevelContradict Level = "contradiction" // limits that can't hold together
	LevelDifference Level = "difference"    // from the version in force
)

// levels returns all levels, the most serious first.
func levels() []Level { return []Level{LevelError, LevelNever, LevelContradict, LevelDifference} }

// Finding is one thing that an operator should know before a configuration is sent.
type Finding struct {
	Level   Level  `json:"level"`
	Where   string `json:"where"` // the entry, such as `queue "scan"`
	Message string `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Level, f.Where, f.Message) }

// Worst returns the most serious level of some findings; an empty text if there are none but differences.
func Worst(findings []Finding) Level {
	for _, level := range levels() {
		if level != LevelDifference && slices.ContainsFunc(findings, func(f Finding) bool { return f.Level == level }) {
			return level
		}
	}
	return ""
}

// report collects findings.
type report struct {
	findings []Finding
}

func (r *report) add(level Level, where, format string, args ...any) {
	r.findings = append(r.findings, Finding{Level: level, Where: where, Message: fmt.Sprintf(format, args...)})
}

// sorted returns the findings, the most serious first, and by entry within a level.
func (r *report) sorted() []Finding {
	order := levels()
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(slices.Index(order, a.Level), slices.Index(order, b.Level)), strings.Compare(a.Where, b.Where))
	})
	return r.findings
}

// entry names an entry of a configuration.
func entry(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }
