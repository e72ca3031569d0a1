package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/internal/lint"
	"peridotgw.example/peridotgw/reply"
)

// exitCode is the program's exit code, on which scripts rely.
type exitCode int

const (
	exitDone exitCode = 0
	// exitUsage means that flags, arguments or files are wrong; nothing was sent.
	exitUsage exitCode = 1
	// exitRefused means that the system refused and nothing was changed or run.
	exitRefused exitCode = 2
	// exitConflict means that an object changed since the base revision; nothing was changed.
	exitConflict exitCode = 3
	// exitFailed means that the work ran and failed, or that an error of another kind occurred.
	exitFailed exitCode = 4
	// exitUnknown means that the call may have taken effect; a repeat with the same id is safe.
	exitUnknown exitCode = 5
	// exitUnreachable means that no instance answered and nothing was changed.
	exitUnreachable exitCode = 6
	// exitFindings means that a checked configuration has entries that can never match, or limits that contradict each other.
	exitFindings exitCode = 7
)

// usageError reports wrong flags, arguments or files.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// asUsageError converts an error from reading input to a usageError.
func asUsageError(err error) error { return &usageError{message: err.Error()} }

// usageErrorf returns a usageError with a formatted message.
func usageErrorf(format string, args ...any) error {
	return &usageError{message: fmt.Sprintf(format, args...)}
}

// exitCodeOf returns the exit code for an error; a nil error gives exitDone.
func exitCodeOf(err error) exitCode {
	var (
		usageErr    *usageError
		jsonErr     *jsonc.Error
		pathErr     *os.PathError
		replied     *reply.Error
		unreachable *client.UnreachableError
		storeErr    *storeDownError
		findings    *findingsError
		leaderErr   *leaderDownError
	)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usageErr), errors.As(err, &jsonErr), errors.As(err, &pathErr):
		return exitUsage
	case errors.As(err, &findings) && findings.worst == lint.LevelError:
		return exitRefused
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &unreachable), errors.As(err, &storeErr), errors.As(err, &leaderErr):
		return exitUnreachable
	case !errors.As(err, &replied):
		return exitFailed
	case replied.Outcome == reply.OutcomeUnknown:
		return exitUnknown
	case replied.Outcome == reply.OutcomeRefused && replied.Reason == reply.ReasonConflict:
		return exitConflict
	case replied.Outcome == reply.OutcomeRefused:
		return exitRefused
	default:
		return exitFailed
	}
}

// printError writes an error to standard error: as text with one line per problem, or as one JSON object.
func (a *app) printError(format string, err error) {
	var replied *reply.Error
	isReply := errors.As(err, &replied)
	if format == "json" {
		body := any(map[string]string{"message": err.Error()})
		if isReply {
			body = replied
		}
		if json.NewEncoder(a.err).Encode(body) == nil {
			return
		}
	}
	a.printNote("peridotctl: %v", err)
	if !isReply {
		return
	}
	for _, problem := range replied.Problems {
		a.printNote("  problem: %s", problem)
	}
	for _, ref := range replied.Conflicts {
		a.printNote("  changed since the base revision: %s %q", ref.Kind, ref.Name)
	}
	if replied.RetryAfter > 0 {
		a.printNote("  repeat after %s", replied.RetryAfter)
	}
}
