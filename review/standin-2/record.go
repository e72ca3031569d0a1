package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex // guards the fields below
	file  *os.File
	start time.Time
	broke int // lines that report a broken rule
}

// newRecord creates the file at path. Errors are those of the file system.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// violation writes a line on a broken rule to the record and to standard output.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broke++
	r.write("BROKEN "+format, args...)
	fmt.Printf("BROKEN "+format+"\n", args...)
}

// write writes a line; r.mu is held.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// violations returns the number of lines that report a broken rule.
func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broke
}
