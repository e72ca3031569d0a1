package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/model"
)

const (
	operatorToken = "demo-operator-token"
	// stopTimeout is longer than the 35 s that a graceful stop of an instance may take.
	stopTimeout = 40 * time.Second
)

// instance is one peridotd process with its settings.
type instance struct {
	id       model.InstanceID
	settings string
	process  *process
}

// machine is a worker or endpoint that the stand-in simulates.
type machine struct {
	Name       string             `json:"name"`
	Kind       string             `json:"kind"`
	URL        string             `json:"url"`
	DataCentre model.DataCentreID `json:"data-centre"`
}

// deployment is an example deployment and its processes. mu guards the process of each instance.
type deployment struct {
	name      string
	options   options
	logs      string
	set       *model.Set
	files     *object.Files
	standin   *process
	instances []*instance
	machines  []machine
	http      *http.Client
	mu        sync.Mutex
}

// startDeployment starts the stand-ins and the instances of an example and publishes its objects.
func startDeployment(ctx context.Context, o options, name string) (*deployment, error) {
	d := &deployment{name: name, options: o, logs: o.logs, http: &http.Client{Timeout: 5 * time.Second}}
	if d.logs == "" {
		folder, err := os.MkdirTemp("", "peridotgw-"+name+"-")
		if err != nil {
			return nil, eris.Wrap(err, "creating a directory for logs")
		}
		d.logs = folder
	}
	if err := d.loadObjects(); err != nil {
		return nil, err
	}
	if err := d.startProcesses(ctx); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, nil
}

func (d *deployment) loadObjects() error {
	files, err := object.Load(filepath.Join(d.options.examples, d.name, "objects"))
	if err != nil {
		return err
	}
	d.files = files
	d.set, err = files.Set()
	return err
}

func (d *deployment) startProcesses(ctx context.Context) error {
	layout := filepath.Join(d.options.examples, d.name, "standin.jsonc")
	standin, err := startProcess(ctx, d.logs, "standin", filepath.Join(d.options.bin, "standin"), "-layout", layout, "-first-port", "0")
	if err != nil {
		return err
	}
	d.standin = standin
	if err := d.getJSON(ctx, standin.ready["control"], &d.machines); err != nil {
		return err
	}
	centres := d.dataCentres()
	for i := range d.options.instances {
		inst := &instance{id: model.InstanceID(fmt.Sprintf("entry-%d", i+1))}
		if inst.settings, err = d.writeSettings(inst.id, centres[i%len(centres)]); err != nil {
			return err
		}
		if err := d.startInstance(ctx, inst); err != nil {
			return err
		}
		d.instances = append(d.instances, inst)
	}
	return d.publishObjects(ctx)
}

func (d *deployment) dataCentres() []model.DataCentreID {
	var names []model.DataCentreID
	for _, o := range d.files.Objects {
		if o.Kind == model.KindDataCentre {
			names = append(names, model.DataCentreID(o.Name))
		}
	}
	return names
}

func (d *deployment) startInstance(ctx context.Context, inst *instance) error {
	p, err := startProcess(ctx, d.logs, string(inst.id), filepath.Join(d.options.bin, "peridotd"), inst.settings)
	if err != nil {
		return err
	}
	d.mu.Lock()
	inst.process = p
	d.mu.Unlock()
	return nil
}

func (d *deployment) writeSettings(id model.InstanceID, dc model.DataCentreID) (string, error) {
	port := "127.0.0.1:0"
	settings := map[string]any{
		"instance": id, "data-centre": dc,
		"listen":    map[string]string{"callers": port, "operators": port, "peers": port, "metrics": port},
		"store":     map[string]string{"url": d.standin.ready["store"]},
		"vm-list":   map[string]string{"url": d.standin.ready["vm-list"], "every": "1s"},
		"operators": []map[string]string{{"name": "demo", "token": operatorToken}},
		"log":       map[string]string{"level": "info", "format": "console"},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, "encoding settings")
	}
	if err := os.WriteFile(d.tokenFile(), []byte(operatorToken), 0o600); err != nil {
		return "", eris.Wrap(err, "writing the operators' token")
	}
	path := filepath.Join(d.logs, string(id)+".jsonc")
	return path, eris.Wrap(os.WriteFile(path, data, 0o600), "writing settings")
}

// tokenFile returns the path of the operators' token, for peridotctl.
func (d *deployment) tokenFile() string { return filepath.Join(d.logs, "operator-token") }

func (d *deployment) publishObjects(ctx context.Context) error {
	operator, done := d.operator()
	defer done()
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	change := client.Change{ID: client.NewChangeID(), Put: d.files.Objects}
	for {
		result, err := operator.Publish(ctx, change)
		if err == nil {
			fmt.Printf("%s: %d objects published as revision %d\n", d.name, len(change.Put), result.Revision)
			return nil
		}
		// Instances refuse changes until they have confirmed the empty configuration.
		select {
		case <-ctx.Done():
			return eris.Wrap(err, "publishing the objects")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// addresses returns the URLs of the named listener of all running instances.
func (d *deployment) addresses(listener string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var urls []string
	for _, inst := range d.instances {
		if inst.process != nil && inst.process.running() {
			urls = append(urls, "http://"+inst.process.ready[listener])
		}
	}
	return urls
}

func (d *deployment) operator() (*client.Operator, func()) {
	return client.NewOperator(d.addresses("operators"), operatorToken)
}

func (d *deployment) getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrapf(err, "reading %s", url)
	}
	res, err := d.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "reading %s", url)
	}
	err = json.NewDecoder(res.Body).Decode(target)
	return eris.Wrapf(errors.Join(err, res.Body.Close()), "reading %s", url)
}

// stop stops the instances gracefully and then kills the stand-in.
func (d *deployment) stop() error {
	var errs []error
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, inst := range d.instances {
		if inst.process == nil || !inst.process.running() {
			continue
		}
		group.Go(func() {
			_, err := inst.process.terminate(stopTimeout)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	group.Wait()
	if d.standin != nil && d.standin.running() {
		errs = append(errs, d.standin.kill())
	}
	return errors.Join(errs...)
}

// printUsage prints the addresses of a running deployment and commands to try on it.
func (d *deployment) printUsage() {
	fmt.Printf("%s is running; logs are in %s. Interrupt to stop.\n\n", d.name, d.logs)
	for _, inst := range d.instances {
		ready := inst.process.ready
		fmt.Printf("  %s  callers %s  operators %s  metrics http://%s/metrics\n", inst.id, ready["callers"], ready["operators"], ready["metrics"])
	}
	fmt.Printf("  stand-ins %s\n\nTry:\n", d.standin.ready["control"])
	class, customer := "", ""
	for name := range d.set.RequestClasses {
		class = string(name)
	}
	for name := range d.set.Customers {
		customer = string(name)
	}
	ready := d.instances[0].process.ready
	fmt.Printf("  curl -i -H 'Peridot-Customer: %s' -H 'Peridot-Request-Id: try-1' -H 'Peridot-Timeout-Ms: 2000' -d hello http://%s/v1/requests/%s\n",
		customer, ready["callers"], class)
	fmt.Printf("  export PERIDOT_ADDRESS=http://%s PERIDOT_TOKEN_FILE=%s\n", ready["operators"], d.tokenFile())
	fmt.Printf("  %s/peridotctl status\n  %s/peridotctl get\n", d.options.bin, d.options.bin)
}
