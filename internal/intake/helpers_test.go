package intake_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const testJob = model.JobID("00000000000000a1")

func newService(store *fakepl.Store) *intake.Service {
	net := memnet.New()
	net.SetHandler("store:1", store)
	return &intake.Service{
		Store: platform.NewStore(net.Client("a"), "store:1", func(string, string, bool) {}), Log: zerolog.Nop(), Now: time.Now,
		Owner: intake.Owner{
			State: func(context.Context, model.JobID) (work.State, bool, error) {
				return "", false, errors.New("no owner")
			},
			Pending: func(context.Context) (map[work.QueueName]int, error) { return nil, errors.New("no owner") },
		},
	}
}

func newJob() *work.Job {
	return &work.Job{ID: testJob, Queue: "check", Steps: []work.Step{{Count: 1, Estimate: time.Second}}}
}

func outcomeOf(err error) string {
	var refused *intake.RefusedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &refused):
		return "refused"
	}
	return "unknown"
}

func bodyOf(text string) io.Reader {
	if text == "" {
		return nil
	}
	return strings.NewReader(text)
}
