// Package jsonc decodes JSON with comments into typed values. It collects every problem of a file, each with line, column and
// field path, and keeps the positions of the fields, so that later checks can report positions as well.
package jsonc
