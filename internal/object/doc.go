// Package object reads files of configuration objects: JSON with comments, each a list of {kind, name, spec}. Every
// problem is reported with file, line, column, object and field.
package object
