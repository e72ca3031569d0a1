package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// pollInterval is the interval between two reads of the status while waiting for members.
const pollInterval = 250 * time.Millisecond

func (a *app) serviceCommand(state string) *command {
	var id string
	var wait time.Duration
	synopsis := "take a data centre out of service"
	description := "Takes a data centre out of service: no task starts there any more, and jobs are moved or run to their end."
	if state == "in" {
		synopsis = "put a data centre into service"
		description = "Puts a data centre into service, so that tasks start there again."
	}
	return &command{
		app: a, name: state, synopsis: synopsis, args: "data-centre",
		help: description + `
Waits until every member has confirmed the change or its membership has expired, and lists them.
Exit code 5 means that the change took effect but not every member confirmed it within -wait.`,
		example: "peridotctl " + state + " waterworks",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&id, "change-id", "", "`id` of the change; give the printed one to repeat a change whose answer was lost")
			// The store lease of a failed member expires after 5 s; a configuration takes 8 s to reach all members at the design size.
			f.DurationVar(&wait, "wait", 15*time.Second, "how long to wait for the members; 0 does not wait")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 1, 1, "one data centre"); err != nil {
				return err
			}
			change := model.ChangeID(id)
			if change == "" {
				change = client.NewChangeID()
			}
			s.printNote("change %s; to repeat it, add -change-id %s", change, change)
			call := s.operator.Out
			if state == "in" {
				call = s.operator.In
			}
			result, err := call(ctx, model.DataCentreID(args[0]), change)
			if err != nil {
				return err
			}
			s.printNote("data centre %s is %s at revision %d", args[0], state, result.Revision)
			if wait <= 0 {
				return s.printResult(result)
			}
			return s.awaitMembers(ctx, result.Revision, wait)
		},
	}
}

// awaitMembers waits until all members that the answering instance knows have confirmed the revision, and prints them.
func (s *session) awaitMembers(ctx context.Context, revision model.Revision, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var lastStatus client.Status
	var lastErr error
	for {
		status, err := s.operator.Status(ctx)
		if err == nil {
			lastStatus = status
		}
		lastErr = err
		if missing := unconfirmedMembers(lastStatus, revision); err == nil && len(missing) == 0 {
			return s.printMembers(lastStatus.Members)
		}
		select {
		case <-ctx.Done():
			return s.unconfirmedError(lastStatus, revision, lastErr)
		case <-time.After(pollInterval):
		}
	}
}

// unconfirmedError prints the members and returns an error with outcome unknown that names those that are missing.
func (s *session) unconfirmedError(lastStatus client.Status, revision model.Revision, lastErr error) error {
	printErr := s.printMembers(lastStatus.Members)
	missing := unconfirmedMembers(lastStatus, revision)
	unknown := reply.Unknown(reply.ReasonInDoubt, "revision %d took effect, but not every member has confirmed it: %s", revision, strings.Join(missing, ", "))
	unknown.Revision = revision
	if lastErr != nil && !errors.Is(lastErr, context.DeadlineExceeded) {
		unknown.Message += fmt.Sprintf(" (last status: %v)", lastErr)
	}
	return errors.Join(unknown, printErr)
}

// unconfirmedMembers returns the members that have not confirmed the revision. A status without members confirms nothing.
func unconfirmedMembers(status client.Status, revision model.Revision) []string {
	if len(status.Members) == 0 {
		return []string{"no member is known"}
	}
	var missing []string
	for _, member := range status.Members {
		if !member.Confirmed || member.Revision < revision {
			missing = append(missing, string(member.Instance))
		}
	}
	return missing
}

func (s *session) printMembers(members []client.MemberStatus) error {
	return s.print(members, memberRows(members))
}

func memberRows(members []client.MemberStatus) [][]string {
	rows := [][]string{{"INSTANCE", "DATA-CENTRE", "REVISION", "CONFIRMED", "DRAINING", "CONFIRMED-AGE"}}
	for _, m := range members {
		rows = append(rows, []string{
			string(m.Instance), string(m.DataCentre), formatNumber(m.Revision), fmt.Sprint(m.Confirmed), fmt.Sprint(m.Draining), m.ConfirmedAge.String(),
		})
	}
	return rows
}

func (a *app) statusCommand() *command {
	return &command{
		app: a, name: "status", synopsis: "print members, data centres and the configuration in effect",
		help:    "Prints the deployment as one instance sees it: its configuration level, the members and the data centres.",
		example: "peridotctl status\nperidotctl status -o json -address http://10.0.0.7:7101",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 0, 0, "no arguments"); err != nil {
				return err
			}
			status, err := s.operator.Status(ctx)
			if err != nil {
				return err
			}
			rows := [][]string{{"ANSWERED BY", "REVISION", "LEVEL"}, {string(status.Instance), formatNumber(status.Revision), status.Level}, {}}
			rows = append(rows, memberRows(status.Members)...)
			rows = append(rows, []string{}, []string{"DATA-CENTRE", "SERVICE", "OWNER", "FREE", "LARGEST-RACK-FREE", "QUEUED", "RUNNING", "AGE"})
			for _, d := range status.DataCentres {
				rows = append(rows, []string{
					string(d.DataCentre), string(d.Service), dashIfEmpty(string(d.Owner)), formatNumber(d.Free), formatNumber(d.LargestRackFree),
					formatNumber(d.Queued), formatNumber(d.Running), d.Age.String(),
				})
			}
			for _, endpoint := range status.Leaving {
				rows = append(rows, []string{"leaving: " + string(endpoint)})
			}
			return s.print(status, rows)
		},
	}
}

func (a *app) leavingCommand() *command {
	return &command{
		app: a, name: "leaving", synopsis: "mark endpoints as leaving", args: "endpoint...",
		help:    "Marks endpoints as leaving: they get no new requests within 2 s, and requests in flight end normally. A repeat changes nothing.",
		example: "peridotctl leaving endpoint-17",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkArgCount(args, 1, -1, "at least one endpoint"); err != nil {
				return err
			}
			rows := [][]string{{"ENDPOINT", "STATE"}}
			for _, endpoint := range args {
				if err := s.operator.Leaving(ctx, model.EndpointID(endpoint)); err != nil {
					return eris.Wrapf(err, "endpoint %s", endpoint)
				}
				rows = append(rows, []string{endpoint, "leaving"})
			}
			return s.print(args, rows)
		},
	}
}

func (a *app) explainCommand() *command {
	return &command{
		app: a, name: "explain", synopsis: "print the recorded decisions on a job or request", args: "job id | request customer id",
		help:    "Prints each recorded decision with its reason, the configuration revision and the inputs, oldest first.",
		example: "peridotctl explain job tally-2026-12-04\nperidotctl explain request parks scan-000123",
		run: func(ctx context.Context, s *session, args []string) error {
			events, err := s.readEvents(ctx, args)
			if err != nil {
				return err
			}
			rows := [][]string{{"AT", "INSTANCE", "ACTION", "REASON", "REVISION", "INPUTS"}}
			for _, e := range events {
				inputs := strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(e.Inputs), "map["), "]")
				rows = append(rows, []string{e.At.UTC().Format(time.RFC3339Nano), string(e.Instance), e.Action, dashIfEmpty(e.Reason), formatNumber(e.Revision), dashIfEmpty(inputs)})
			}
			if len(events) == 0 {
				s.printNote("no decisions are recorded")
				events = []client.Event{}
			}
			return s.print(events, rows)
		},
	}
}

func (s *session) readEvents(ctx context.Context, args []string) ([]client.Event, error) {
	switch {
	case len(args) == 2 && args[0] == "job":
		return s.operator.ExplainJob(ctx, model.JobID(args[1]))
	case len(args) == 3 && args[0] == "request":
		return s.operator.ExplainRequest(ctx, model.CustomerID(args[1]), model.RequestID(args[2]))
	default:
		return nil, usageErrorf("\"job id\" or \"request customer id\" expected")
	}
}
