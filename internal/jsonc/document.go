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

// MaxFileBytes bounds a file, so that a wrong path does not fill the memory.
const MaxFileBytes = 8 << 20

// Document is one parsed file with the problems found so far.
type Document struct {
	// Path names the file in errors.
	Path string

	source   []byte
	root     hujson.Value
	nodes    map[string]*hujson.Value
	problems []found
}

type found struct {
	offset  int
	problem Problem
}

// Open reads and parses a file; it returns an Error for text that is not JSON with comments.
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

// maxDepth bounds nesting, because the parser recurses and a deep file would end the process.
const maxDepth = 1000

// tooDeep counts brackets wherever they are; text with so many of them unbalanced in strings or comments is refused too.
func tooDeep(source []byte) bool {
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

// Parse parses text; path is used in errors only.
func Parse(path string, source []byte) (*Document, error) {
	if tooDeep(source) {
		return nil, &Error{Path: path, Problems: []Problem{{Message: fmt.Sprintf("more than %d brackets are open at once", maxDepth)}}}
	}
	root, err := hujson.Parse(source)
	if err != nil {
		return nil, &Error{Path: path, Problems: []Problem{syntaxProblem(err)}}
	}
	return &Document{Path: path, source: source, root: root, nodes: map[string]*hujson.Value{}}, nil
}

// syntaxProblem takes the position out of the parser's message, which is its only form.
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

// Decode stores the document in the value that into points to. Fields that are left out keep their value. Problems are
// recorded for Err.
func (d *Document) Decode(into any) {
	d.decode("", &d.root, reflect.ValueOf(into).Elem())
}

// DecodeAt decodes raw text of a field that was decoded as a json.RawMessage, with field paths below it.
func (d *Document) DecodeAt(field string, into any) {
	value, ok := d.nodes[field]
	if !ok {
		d.Report(field, "the field is missing")
		return
	}
	d.decode(field, value, reflect.ValueOf(into).Elem())
}

// Report records a problem of a field; when the field is not in the file, the position is that of its nearest parent.
func (d *Document) Report(field, format string, args ...any) {
	d.add(d.offsetOf(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the field is in the file.
func (d *Document) Has(field string) bool {
	_, ok := d.nodes[field]
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
	slices.SortStableFunc(d.problems, func(a, b found) int { return cmp.Compare(a.offset, b.offset) })
	err := &Error{Path: d.Path}
	for _, p := range d.problems {
		err.Problems = append(err.Problems, p.problem)
	}
	return err
}

func (d *Document) add(offset int, field, message string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, found{offset, Problem{Line: line, Column: column, Field: field, Message: message}})
}

func (d *Document) offsetOf(field string) int {
	for field != "" {
		if node, ok := d.nodes[field]; ok {
			return node.StartOffset
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return d.root.StartOffset
}

func (d *Document) position(offset int) (line, column int) {
	before := d.source[:min(offset, len(d.source))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[start:]) + 1
}
