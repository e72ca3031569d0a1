package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/jobs"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/worker"
	"peridotgw.example/peridotgw/model"
)

const (
	operatorToken = "process-operator-token"
	customer      = "customer-1"
	north         = model.DataCentreID("north")
	south         = model.DataCentreID("south")
	// classTimeout is the timeout of all request classes.
	classTimeout = 10 * time.Second
	// balancerDelay is above several polls of the balancer's stand-in.
	balancerDelay = 1500 * time.Millisecond
	layoutText    = `{"data-centres": [
		{"name": "north", "endpoints": 2, "slots": 8, "racks": [{"name": "north-r1", "workers": 2, "accelerators": 8, "cores": 64, "memory-mb": 262144}]},
		{"name": "south", "endpoints": 2, "slots": 8, "racks": [{"name": "south-r1", "workers": 2, "accelerators": 8, "cores": 64, "memory-mb": 262144}]},
	]}`
	objectsText = `[
		{"kind": "data-centre", "name": "north", "spec": {"service": "in", "racks": [
			{"name": "north-r1", "workers": 2, "accelerators-per-worker": 8, "cores-per-worker": 64, "memory-mb-per-worker": 262144}]}},
		{"kind": "data-centre", "name": "south", "spec": {"service": "in", "racks": [
			{"name": "south-r1", "workers": 2, "accelerators-per-worker": 8, "cores-per-worker": 64, "memory-mb-per-worker": 262144}]}},
		{"kind": "customer", "name": "customer-1", "spec": {}},
		{"kind": "shape", "name": "pair", "spec": {"tasks": 2, "accelerators-per-task": 4, "adjacency": "rack"}},
		{"kind": "job-class", "name": "batch", "spec": {"priority": "normal", "repeatable": true}},
		{"kind": "job-class", "name": "once", "spec": {"priority": "normal"}},
		{"kind": "request-class", "name": "scan", "spec": {"priority": "normal", "idempotent": true, "timeout": "10s"}},
		{"kind": "request-class", "name": "tally", "spec": {"priority": "normal", "timeout": "10s"}}
	]`
)

// instance is one peridotd process; its addresses change when it is started again.
type instance struct {
	id       model.InstanceID
	settings string
	mu       sync.Mutex
	session  *gexec.Session
	at       map[string]string
}

func (i *instance) start() {
	session, at := launch(built.Daemon, i.settings)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.session, i.at = session, at
}

func (i *instance) url(listener string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return "http://" + i.at[listener]
}

// launch starts a program that the spec ends by its process id, and returns the fields of its ready line.
func launch(program string, args ...string) (*gexec.Session, map[string]string) {
	session, err := gexec.Start(exec.Command(program, args...), nil, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	// SIGKILL also ends a stopped process.
	DeferCleanup(func() { session.Kill().Wait("10s") })
	Eventually(session.Out, "20s").Should(gbytes.Say(`ready .*\n`))
	at := map[string]string{}
	for field := range strings.FieldsSeq(string(session.Out.Contents())) {
		name, value, _ := strings.Cut(field, "=")
		at[name] = value
	}
	return session, at
}

// machine is a worker or endpoint of the stand-in.
type machine struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	URL  string `json:"url"`
}

// rig is a deployment of real processes on loopback.
type rig struct {
	standin   map[string]string
	machines  []machine
	instances []*instance
}

// deploy starts the stand-in and the instances, publishes the objects and waits until both data centres have an owner.
func deploy(count int) *rig {
	folder := GinkgoT().TempDir()
	layout := filepath.Join(folder, "layout.jsonc")
	Expect(os.WriteFile(layout, []byte(layoutText), 0o600)).To(Succeed())
	r := &rig{}
	_, r.standin = launch(built.Standin, "-layout", layout, "-first-port", "0")
	r.read(r.standin["control"], &r.machines)
	for n := range count {
		one := &instance{id: model.InstanceID(fmt.Sprintf("entry-%d", n+1))}
		one.settings = r.writeSettings(folder, one.id, []model.DataCentreID{north, south}[n%2])
		one.start()
		r.instances = append(r.instances, one)
	}
	r.publish()
	Eventually(r.owners, "20s", "100ms").Should(And(HaveKey(north), HaveKey(south)))
	for _, one := range r.instances {
		Eventually(func() bool { return isReady(one) }, "20s", "100ms").Should(BeTrue(), "%s is ready", one.id)
	}
	// Each instance serves once it has probed an endpoint; /readyz does not tell this.
	for _, one := range r.instances {
		Eventually(func() error {
			return send(http.DefaultClient, one.url("callers"), "scan", client.NewRequestID()).err
		}, "20s", "100ms").Should(Succeed())
	}
	return r
}

func (r *rig) writeSettings(folder string, id model.InstanceID, dc model.DataCentreID) string {
	const port = "127.0.0.1:0"
	text, err := json.Marshal(map[string]any{
		"instance": id, "data-centre": dc,
		"listen":    map[string]string{"callers": port, "operators": port, "peers": port, "metrics": port},
		"store":     map[string]string{"url": r.standin["store"]},
		"vm-list":   map[string]string{"url": r.standin["vm-list"], "every": "1s"},
		"operators": []map[string]string{{"name": "process", "token": operatorToken}},
		"log":       map[string]string{"level": "warn", "format": "console"},
		"limits":    map[string]string{"balancer-delay": balancerDelay.String()},
	})
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, string(id)+".jsonc")
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}

func (r *rig) publish() {
	change := client.Change{ID: client.NewChangeID()}
	Expect(json.Unmarshal([]byte(objectsText), &change.Put)).To(Succeed())
	operator := r.operator(nil)
	// Instances need a moment to prove the empty configuration before they publish.
	Eventually(func(ctx context.Context) error {
		_, err := operator.Publish(ctx, change)
		return err
	}, "20s", "200ms").WithContext(context.Background()).Should(Succeed())
}

// operator returns an operator that calls all instances but one.
func (r *rig) operator(without *instance) *client.Operator {
	var addresses []string
	for _, one := range r.instances {
		if one != without {
			addresses = append(addresses, one.url("operators"))
		}
	}
	operator, done := client.NewOperator(addresses, operatorToken)
	DeferCleanup(done)
	return operator
}

var direct = &http.Client{Timeout: 10 * time.Second}

func (r *rig) read(address string, into any) {
	GinkgoHelper()
	Expect(get(address, into)).To(Succeed())
}

func get(address string, into any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := direct.Do(request)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d: %s", address, response.StatusCode, body)
	}
	return json.Unmarshal(body, into)
}

// set replaces the fault switches of one stand-in.
func (r *rig) set(name, faults string) {
	GinkgoHelper()
	response, err := direct.Post(r.standin["control"]+"/faults/"+name, "application/json", strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// entries lists the keys under a prefix, as the store holds them.
func (r *rig) entries(prefix string) store.Listing {
	GinkgoHelper()
	var list store.Listing
	r.read(r.standin["store"]+"/v1/kv?prefix="+url.QueryEscape(prefix), &list)
	return list
}

// ownership is the holder of a data centre; the revision of its entry is the fencing token.
type ownership struct {
	Instance model.InstanceID `json:"instance"`
	token    model.Token
}

func (r *rig) owners() map[model.DataCentreID]ownership {
	owners := map[model.DataCentreID]ownership{}
	for _, entry := range r.entries("/owner/").Entries {
		var held ownership
		Expect(json.Unmarshal(entry.Value, &held)).To(Succeed())
		held.token = model.Token(entry.Modified)
		owners[model.DataCentreID(strings.TrimPrefix(entry.Key, "/owner/"))] = held
	}
	return owners
}

func (r *rig) ownerOf(dc model.DataCentreID) *instance {
	owner := r.owners()[dc].Instance
	for _, one := range r.instances {
		if one.id == owner {
			return one
		}
	}
	Fail(fmt.Sprintf("data centre %s is owned by %q", dc, owner))
	return nil
}

// records returns the job records of a data centre with the store revision of their last write.
func (r *rig) records(dc model.DataCentreID) map[model.JobID]written {
	GinkgoHelper()
	records := map[model.JobID]written{}
	for _, entry := range r.entries(jobs.Prefix(dc)).Entries {
		var record jobs.Record
		Expect(json.Unmarshal(entry.Value, &record)).To(Succeed())
		records[record.Spec.ID] = written{Record: record, revision: entry.Modified}
	}
	return records
}

type written struct {
	jobs.Record
	revision store.Revision
}

// tasks returns the tasks of all workers by job, ended ones included.
func (r *rig) tasks() (map[model.JobID]map[model.TaskID]worker.TaskState, error) {
	found := map[model.JobID]map[model.TaskID]worker.TaskState{}
	for _, m := range r.machines {
		if m.Kind != "worker" {
			continue
		}
		var status worker.Status
		if err := get(m.URL+"/v1/state", &status); err != nil {
			return nil, err
		}
		for _, task := range status.Tasks {
			if found[task.Job] == nil {
				found[task.Job] = map[model.TaskID]worker.TaskState{}
			}
			found[task.Job][task.Task] = task.State
		}
	}
	return found, nil
}

// running returns the ids of a job's running tasks.
func (r *rig) running(job model.JobID) []model.TaskID {
	GinkgoHelper()
	all, err := r.tasks()
	Expect(err).NotTo(HaveOccurred())
	var ids []model.TaskID
	for id, state := range all[job] {
		if state == worker.TaskRunning {
			ids = append(ids, id)
		}
	}
	return ids
}

// runs returns how often each request ran on any endpoint.
func (r *rig) runs() map[model.RequestID]int {
	GinkgoHelper()
	total := map[model.RequestID]int{}
	for _, m := range r.machines {
		if m.Kind != "endpoint" {
			continue
		}
		var state struct {
			Runs map[model.RequestID]int `json:"runs"`
		}
		r.read(m.URL+"/faults", &state)
		for id, n := range state.Runs {
			total[id] += n
		}
	}
	return total
}
