package jsonc

import (
	"fmt"
	"strings"
)

// Problem is one problem of a file.
type Problem struct {
	// Line and Column start at 1; both are 0 when the problem has no position.
	Line, Column int
	// Field is the path of the field, such as "listen.callers" or "operators[1].token"; empty means the whole file.
	Field   string
	Message string
}

// String returns position, field and message.
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "%d:%d: ", p.Line, p.Column)
	}
	if p.Field != "" {
		text.WriteString(p.Field + ": ")
	}
	text.WriteString(p.Message)
	return text.String()
}

// Error lists all problems of one file, in the order of their positions.
type Error struct {
	Path     string
	Problems []Problem
}

// Error returns one line per problem, each starting with the path.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = e.Path + ":" + problem.String()
	}
	return strings.Join(lines, "\n")
}
