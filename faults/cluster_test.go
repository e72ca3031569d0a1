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
	// balancerDelay spans several polls of the simulated balancer.
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

// instance is one peridotd process; its addresses change when it restarts. mu guards session and addresses.
type instance struct {
	id        model.InstanceID
	settings  string
	mu        sync.Mutex
	session   *gexec.Session
	addresses map[string]string
}

func (i *instance) start() {
	session, addresses := startProgram(builtPrograms.Daemon, i.settings)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.session, i.addresses = session, addresses
}

func (i *instance) url(listener string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return "http://" + i.addresses[listener]
}

// startProgram starts a program, waits for its ready line and returns the fields of that line. The process is killed when
// the spec ends.
func startProgram(program string, args ...string) (*gexec.Session, map[string]string) {
	session, err := gexec.Start(exec.Command(program, args...), nil, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	// SIGKILL also ends a process that SIGSTOP has paused.
	DeferCleanup(func() { session.Kill().Wait("10s") })
	Eventually(session.Out, "20s").Should(gbytes.Say(`ready .*\n`))
	addresses := map[string]string{}
	for field := range strings.FieldsSeq(string(session.Out.Contents())) {
		name, value, _ := strings.Cut(field, "=")
		addresses[name] = value
	}
	return session, addresses
}

// machine is a worker or endpoint that the stand-in simulates.
type machine struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	URL  string `json:"url"`
}

// testCluster is a deployment of real processes on loopback.
type testCluster struct {
	standin   map[string]string
	machines  []machine
	instances []*instance
}

// startCluster starts the stand-in and the instances, publishes the objects and waits until both data centres have an owner.
func startCluster(count int) *testCluster {
	folder := GinkgoT().TempDir()
	layout := filepath.Join(folder, "layout.jsonc")
	Expect(os.WriteFile(layout, []byte(layoutText), 0o600)).To(Succeed())
	cluster := &testCluster{}
	_, cluster.standin = startProgram(builtPrograms.Standin, "-layout", layout, "-first-port", "0")
	cluster.readJSON(cluster.standin["control"], &cluster.machines)
	for i := range count {
		inst := &instance{id: model.InstanceID(fmt.Sprintf("entry-%d", i+1))}
		inst.settings = cluster.writeSettings(folder, inst.id, []model.DataCentreID{north, south}[i%2])
		inst.start()
		cluster.instances = append(cluster.instances, inst)
	}
	cluster.publishObjects()
	Eventually(cluster.owners, "20s", "100ms").Should(And(HaveKey(north), HaveKey(south)))
	for _, inst := range cluster.instances {
		Eventually(func() bool { return isReady(inst) }, "20s", "100ms").Should(BeTrue(), "%s is ready", inst.id)
	}
	// /readyz does not report whether an instance has probed an endpoint, which it must do before it can serve.
	for _, inst := range cluster.instances {
		Eventually(func() error {
			return sendRequest(http.DefaultClient, inst.url("callers"), "scan", client.NewRequestID()).err
		}, "20s", "100ms").Should(Succeed())
	}
	return cluster
}

func (c *testCluster) writeSettings(folder string, id model.InstanceID, dc model.DataCentreID) string {
	const port = "127.0.0.1:0"
	text, err := json.Marshal(map[string]any{
		"instance": id, "data-centre": dc,
		"listen":    map[string]string{"callers": port, "operators": port, "peers": port, "metrics": port},
		"store":     map[string]string{"url": c.standin["store"]},
		"vm-list":   map[string]string{"url": c.standin["vm-list"], "every": "1s"},
		"operators": []map[string]string{{"name": "process", "token": operatorToken}},
		"log":       map[string]string{"level": "warn", "format": "console"},
		"limits":    map[string]string{"balancer-delay": balancerDelay.String()},
	})
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(folder, string(id)+".jsonc")
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	return path
}

func (c *testCluster) publishObjects() {
	change := client.Change{ID: client.NewChangeID()}
	Expect(json.Unmarshal([]byte(objectsText), &change.Put)).To(Succeed())
	operator := c.operator(nil)
	// Instances refuse changes until they have confirmed the empty configuration.
	Eventually(func(ctx context.Context) error {
		_, err := operator.Publish(ctx, change)
		return err
	}, "20s", "200ms").WithContext(context.Background()).Should(Succeed())
}

// operator returns an operator client for all instances except the given one.
func (c *testCluster) operator(without *instance) *client.Operator {
	var addresses []string
	for _, inst := range c.instances {
		if inst != without {
			addresses = append(addresses, inst.url("operators"))
		}
	}
	operator, done := client.NewOperator(addresses, operatorToken)
	DeferCleanup(done)
	return operator
}

var directClient = &http.Client{Timeout: 10 * time.Second}

func (c *testCluster) readJSON(address string, target any) {
	GinkgoHelper()
	Expect(getJSON(address, target)).To(Succeed())
}

func getJSON(address string, target any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := directClient.Do(request)
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
	return json.Unmarshal(body, target)
}

// setFaults replaces the injected faults of one simulated service or machine.
func (c *testCluster) setFaults(name, faults string) {
	GinkgoHelper()
	response, err := directClient.Post(c.standin["control"]+"/faults/"+name, "application/json", strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// listEntries lists the store entries under a prefix.
func (c *testCluster) listEntries(prefix string) store.Listing {
	GinkgoHelper()
	var list store.Listing
	c.readJSON(c.standin["store"]+"/v1/kv?prefix="+url.QueryEscape(prefix), &list)
	return list
}

// ownership is the holder of a data centre; the revision of its entry is the fencing token.
type ownership struct {
	Instance model.InstanceID `json:"instance"`
	token    model.Token
}

func (c *testCluster) owners() map[model.DataCentreID]ownership {
	owners := map[model.DataCentreID]ownership{}
	for _, entry := range c.listEntries("/owner/").Entries {
		var owner ownership
		Expect(json.Unmarshal(entry.Value, &owner)).To(Succeed())
		owner.token = model.Token(entry.Modified)
		owners[model.DataCentreID(strings.TrimPrefix(entry.Key, "/owner/"))] = owner
	}
	return owners
}

func (c *testCluster) ownerOf(dc model.DataCentreID) *instance {
	owner := c.owners()[dc].Instance
	for _, inst := range c.instances {
		if inst.id == owner {
			return inst
		}
	}
	Fail(fmt.Sprintf("data centre %s is owned by %q", dc, owner))
	return nil
}

// records returns the job records of a data centre with the store revision of their last write.
func (c *testCluster) records(dc model.DataCentreID) map[model.JobID]storedRecord {
	GinkgoHelper()
	records := map[model.JobID]storedRecord{}
	for _, entry := range c.listEntries(jobs.Prefix(dc)).Entries {
		var record jobs.Record
		Expect(json.Unmarshal(entry.Value, &record)).To(Succeed())
		records[record.Spec.ID] = storedRecord{Record: record, revision: entry.Modified}
	}
	return records
}

// storedRecord is a job record with the store revision of its last write.
type storedRecord struct {
	jobs.Record
	revision store.Revision
}

// tasks returns the tasks of all workers by job, including ended ones.
func (c *testCluster) tasks() (map[model.JobID]map[model.TaskID]worker.TaskState, error) {
	found := map[model.JobID]map[model.TaskID]worker.TaskState{}
	for _, m := range c.machines {
		if m.Kind != "worker" {
			continue
		}
		var status worker.Status
		if err := getJSON(m.URL+"/v1/state", &status); err != nil {
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

// runningTasks returns the ids of a job's running tasks.
func (c *testCluster) runningTasks(job model.JobID) []model.TaskID {
	GinkgoHelper()
	all, err := c.tasks()
	Expect(err).NotTo(HaveOccurred())
	var ids []model.TaskID
	for id, state := range all[job] {
		if state == worker.TaskRunning {
			ids = append(ids, id)
		}
	}
	return ids
}

// requestRuns returns how often each request ran, summed over all endpoints.
func (c *testCluster) requestRuns() map[model.RequestID]int {
	GinkgoHelper()
	total := map[model.RequestID]int{}
	for _, m := range c.machines {
		if m.Kind != "endpoint" {
			continue
		}
		var state struct {
			Runs map[model.RequestID]int `json:"runs"`
		}
		c.readJSON(m.URL+"/faults", &state)
		for id, n := range state.Runs {
			total[id] += n
		}
	}
	return total
}
