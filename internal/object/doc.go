// Package object reads files of configuration objects. Each file is JSON with comments: a list of {kind, name, spec}. Every problem
// is reported with file, line, column, object and field.
package object
