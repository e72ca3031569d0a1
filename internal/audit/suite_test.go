package audit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"peridotgw.example/peridotgw/internal/audit"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
)

var suiteT *testing.T

func TestAudit(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "audit")
}

// inVirtualTime runs a spec's body in virtual time with a store and a context that ends with the spec.
func inVirtualTime(body func(ctx context.Context, kv *fakekv.Server)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			ctx, cancel := context.WithCancel(context.Background())
			// Handlers whose callers have timed out run until they have applied the call.
			defer time.Sleep(10 * time.Second)
			defer cancel()
			body(ctx, fakekv.New())
		})
	}
}

// startLog returns the log of an instance; its Run ends with ctx.
func startLog(ctx context.Context, kv *fakekv.Server, instance model.InstanceID) *audit.Log {
	l := &audit.Log{
		Store:    &store.Client{BaseURL: "http://store", Timeout: store.DefaultTimeout, Do: memnet.Do(kv), Breaker: &store.Breaker{}},
		Instance: instance, Metrics: metric.New(),
	}
	go func() {
		defer GinkgoRecover()
		Expect(l.Run(ctx)).To(Succeed())
	}()
	return l
}

func jobEvent(id string) audit.Event {
	return audit.Event{Subject: audit.Subject{Kind: audit.KindJob, ID: id}, Action: "placed", Inputs: map[string]string{"rack": "r1"}}
}

// refusalEvent returns a refusal with an input of size bytes.
func refusalEvent(id, reason string, size int) audit.Event {
	return audit.Event{
		Subject: audit.Subject{Kind: audit.KindRequest, ID: id}, Action: audit.ActionRefused, Reason: reason,
		Inputs: map[string]string{audit.InputClass: "scan", "text": strings.Repeat("x", size)},
	}
}

// mustExplain returns the events that Explain finds about a subject; Explain must succeed.
func mustExplain(ctx context.Context, l *audit.Log, kind, id string) []audit.Event {
	GinkgoHelper()
	events, err := l.Explain(ctx, audit.Subject{Kind: kind, ID: id})
	Expect(err).NotTo(HaveOccurred())
	return events
}

// countDropped sums the dropped events of a kind, and of a cause if it is not empty.
func countDropped(l *audit.Log, kind, cause string) int {
	families, err := prometheus.Gatherer(l.Metrics.Registry).Gather()
	Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for _, family := range families {
		for _, m := range family.GetMetric() {
			labels := map[string]string{}
			for _, pair := range m.GetLabel() {
				labels[pair.GetName()] = pair.GetValue()
			}
			if family.GetName() == "peridot_audit_dropped_total" && labels["kind"] == kind && (cause == "" || labels["cause"] == cause) {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return int(sum)
}

func decimal(i int) string { return fmt.Sprint(i) }

// retention is the required value of audit.Retention.
const retention = 7 * 24 * time.Hour
