package jsonc

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a file in bytes, so that a wrong path does not exhaust the memory.
const MaxFileBytes = 8 << 20

// Document is one parsed file with the problems found so far. It must not be used concurrently.
type Document struct {
	// Path names the file in errors.
	Path string

	source   []byte
	root     hujson.Value
	values   map[string]*hujson.Value // by field path; filled by decode
	problems []positionedProblem
}

// positionedProblem is a problem with its byte offset in the source, by which problems are sorted.
type positionedProblem struct {
	offset  int
	problem Problem
}

// Open reads and parses a file; it returns an Error for a file that is too large or is not JSON with comments.
func Open(path string) (*Document, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading file")
	}
	source, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, eris.Wrap(err, "reading file")
	}
	if len(source) > MaxFileBytes {
		return nil, &Error{Path: path, Problems: []Problem{{Message: fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes)}}}
	}
	return Parse(path, source)
}

// maxDepth bounds nesting, because the parser is recursive and a deeply nested file would overflow the stack and end the process.
const maxDepth = 1000

// exceedsMaxDepth counts all brackets, also in strings and comments, so text with that many unbalanced brackets there is rejected
// too.
func exceedsMaxDepth(source []byte) bool {
	depth := 0
	for _, c := range source {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return true
		}
	}
	return false
}

// Parse parses source; path is used in errors only. It returns an Error for text that is not JSON with comments.
func Parse(path string, source []byte) (*Document, error) {
	if exceedsMaxDepth(source) {
		return nil, &Error{Path: path, Problems: []Problem{{Message: fmt.Sprintf("more than %d brackets are open at once", maxDepth)}}}
	}
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, &Error{Path: path, Problems: []Problem{syntaxProblem(err)}}
	}
	return &Document{Path: path, source: source, root: root, values: map[string]*hujson.Value{}}, nil
}

// syntaxProblem extracts the position from the text of the parser's error, which has it nowhere else.
func syntaxProblem(err error) Problem {
	match := regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`).FindStringSubmatch(err.Error())
	if match == nil {
		return Problem{Message: err.Error()}
	}
	line, lineErr := strconv.Atoi(match[1])
	column, columnErr := strconv.Atoi(match[2])
	if lineErr != nil || columnErr != nil {
		return Problem{Message: err.Error()}
	}
	return Problem{Line: line, Column: column, Message: match[3]}
}

// Decode stores the document in the value that into points to. Fields that the file omits keep their value. Problems are
// recorded for Err.
func (d *Document) Decode(into any) {
	d.decode("", &d.root, reflect.ValueOf(into).Elem())
}

// DecodeAt decodes a field that Decode stored as a json.RawMessage into the value that into points to. Problems have the full
// field path.
func (d *Document) DecodeAt(field string, into any) {
	value, ok := d.values[field]
	if !ok {
		d.Report(field, "the field is missing")
		return
	}
	d.decode(field, value, reflect.ValueOf(into).Elem())
}

// Report records a problem of a field; when the field is not in the file, the position is that of its nearest parent.
func (d *Document) Report(field, format string, args ...any) {
	d.addProblem(d.offsetOf(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the file has the field; Decode must have run.
func (d *Document) Has(field string) bool {
	_, ok := d.values[field]
	return ok
}

// Reported reports whether a problem of the field, or of one of its parents, was recorded.
func (d *Document) Reported(field string) bool {
	for _, p := range d.problems {
		if p.problem.Field == field || strings.HasPrefix(field, p.problem.Field+".") {
			return true
		}
	}
	return false
}

// Position returns line and column of a field or of its nearest parent in the file.
func (d *Document) Position(field string) (line, column int) {
	return d.position(d.offsetOf(field))
}

// Err returns an Error with all problems in the order of their positions, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b positionedProblem) int { return cmp.Compare(a.offset, b.offset) })
	err := &Error{Path: d.Path}
	for _, p := range d.problems {
		err.Problems = append(err.Problems, p.problem)
	}
	return err
}

// addProblem records a problem at a byte offset in the source.
func (d *Document) addProblem(offset int, field, message string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, positionedProblem{offset, Problem{Line: line, Column: column, Field: field, Message: message}})
}

// offsetOf returns the byte offset of a field or of its nearest parent in the file.
func (d *Document) offsetOf(field string) int {
	for field != "" {
		if value, ok := d.values[field]; ok {
			return value.StartOffset
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return d.root.StartOffset
}

// position returns line and column of a byte offset; columns count characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.source[:min(offset, len(d.source))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[start:]) + 1
}
