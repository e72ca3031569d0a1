package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"peridotgw.example/peridotgw/bench/internal/table"
	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/object"
	"peridotgw.example/peridotgw/model"
)

const (
	operatorToken = "bench-operator-token"
	// warmUp is the time that a ready fleet runs before it is measured, so that the work of the start is over.
	warmUp       = 3 * time.Second
	startTimeout = 30 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Measure starts fleets of the given sizes one after the other and measures each during the window. bin is the folder of
// the programs, example that of the deployment.
func Measure(ctx context.Context, bin, example string, sizes []int, window time.Duration) ([]*table.Table, error) {
	usageTable := table.New("Fleet: an idle peridotd by fleet size", "instances",
		"processor % of a core: mean", "most", "memory MB: mean", "most", "read KB/s per instance", "written KB/s per instance",
		"of these to and from peers KB/s")
	callsTable := table.New("Fleet: calls to the store by role and operation, idle", "instances", "role and operation",
		"calls/s of the fleet", "calls/s per instance")
	for _, size := range sizes {
		if err := measureSize(ctx, bin, example, size, window, usageTable, callsTable); err != nil {
			return nil, fmt.Errorf("fleet of %d: %w", size, err)
		}
	}
	usageTable.Note("Measured for %s after the fleet was ready. Read and written are the bytes of all reads and writes of the process: store, VM list, peers, workers and probes, with their headers. Memory is resident. The design's bounds per node are 4.5%% of a core, 32 MB and 2 KB/s.", window)
	callsTable.Note("A watch that waits counts when it ends.")
	return []*table.Table{usageTable, callsTable}, nil
}

// deployment is the running processes of one fleet, whose settings and logs are in folder.
type deployment struct {
	folder    string
	standin   *process
	instances []*process
	http      *http.Client
}

func measureSize(ctx context.Context, bin, example string, size int, window time.Duration, usageTable, callsTable *table.Table) (err error) {
	folder, err := os.MkdirTemp("", "peridotgw-bench-")
	if err != nil {
		return fmt.Errorf("creating a folder for settings: %w", err)
	}
	d := &deployment{folder: folder, http: &http.Client{Timeout: 5 * time.Second}}
	defer func() {
		err = errors.Join(err, d.stop())
		d.http.CloseIdleConnections()
		if err == nil {
			err = os.RemoveAll(folder)
		}
	}()
	if err := d.start(ctx, bin, example, size); err != nil {
		return err
	}
	if err := clock.Sleep(ctx, warmUp); err != nil {
		return err
	}
	before, err := d.readUsages(ctx)
	if err != nil {
		return err
	}
	if err := clock.Sleep(ctx, window); err != nil {
		return err
	}
	after, err := d.readUsages(ctx)
	if err != nil {
		return err
	}
	addUsage(usageTable, before, after)
	addCalls(callsTable, before, after)
	return nil
}

func (d *deployment) start(ctx context.Context, bin, example string, size int) error {
	files, err := object.Load(filepath.Join(example, "objects"))
	if err != nil {
		return err
	}
	var dataCentres []string
	for _, o := range files.Objects {
		if o.Kind == model.KindDataCentre {
			dataCentres = append(dataCentres, o.Name)
		}
	}
	if len(dataCentres) == 0 {
		return errors.New("the example has no data centres")
	}
	d.standin, err = start(ctx, d.folder, "standin", filepath.Join(bin, "standin"), "-layout", filepath.Join(example, "standin.jsonc"), "-first-port", "0")
	if err != nil {
		return err
	}
	var operators []string
	for i := range size {
		name := fmt.Sprintf("entry-%d", i+1)
		settings, err := d.writeSettings(name, dataCentres[i%len(dataCentres)])
		if err != nil {
			return err
		}
		p, err := start(ctx, d.folder, name, filepath.Join(bin, "peridotd"), settings)
		if err != nil {
			return err
		}
		d.instances = append(d.instances, p)
		operators = append(operators, "http://"+p.ready["operators"])
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	operator, closeOperator := client.NewOperator(operators, operatorToken)
	defer closeOperator()
	change := client.Change{ID: client.NewChangeID(), Put: files.Objects}
	// Instances accept a change only after they have confirmed the empty configuration, so the change is retried.
	if err := retryUntil(ctx, "publishing the objects", func() error {
		_, err := operator.Publish(ctx, change)
		return err
	}); err != nil {
		return err
	}
	for _, p := range d.instances {
		if err := retryUntil(ctx, "waiting until "+p.name+" is ready", func() error {
			_, err := get(ctx, d.http, "http://"+p.ready["metrics"]+"/readyz")
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// retryUntil repeats a step every pollInterval until it succeeds or ctx ends.
func retryUntil(ctx context.Context, what string, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		if waitErr := clock.Sleep(ctx, pollInterval); waitErr != nil {
			return fmt.Errorf("%s: %w", what, errors.Join(err, waitErr))
		}
	}
}

func (d *deployment) writeSettings(name, dc string) (string, error) {
	port := "127.0.0.1:0"
	data, err := json.MarshalIndent(map[string]any{
		"instance": name, "data-centre": dc,
		"listen":    map[string]string{"callers": port, "operators": port, "peers": port, "metrics": port},
		"store":     map[string]string{"url": d.standin.ready["store"]},
		"vm-list":   map[string]string{"url": d.standin.ready["vm-list"]},
		"operators": []map[string]string{{"name": "bench", "token": operatorToken}},
		"log":       map[string]string{"level": "warn"},
	}, "", "  ")
	if err != nil {
		return "", fmt.Errorf("encoding settings: %w", err)
	}
	path := filepath.Join(d.folder, name+".jsonc")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("writing settings: %w", err)
	}
	return path, nil
}

func (d *deployment) readUsages(ctx context.Context) ([]usage, error) {
	var all []usage
	for _, p := range d.instances {
		u, err := readUsage(ctx, d.http, p)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func (d *deployment) stop() error {
	var errs []error
	for _, p := range d.instances {
		errs = append(errs, p.stop())
	}
	if d.standin != nil {
		errs = append(errs, d.standin.stop())
	}
	return errors.Join(errs...)
}

func addUsage(t *table.Table, before, after []usage) {
	var cpuTime, memory, read, written, peers []float64
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		cpuTime = append(cpuTime, 100*(after[i].cpuTime-before[i].cpuTime).Seconds()/seconds)
		memory = append(memory, after[i].residentBytes/1e6)
		read = append(read, (after[i].read-before[i].read)/seconds/1e3)
		written = append(written, (after[i].written-before[i].written)/seconds/1e3)
		bytes := 0.0
		for direction, count := range after[i].peerBytes {
			bytes += count - before[i].peerBytes[direction]
		}
		peers = append(peers, bytes/seconds/1e3)
	}
	t.Add(len(after), mean(cpuTime), slices.Max(cpuTime), mean(memory), slices.Max(memory), mean(read), mean(written), mean(peers))
}

func addCalls(t *table.Table, before, after []usage) {
	rates, total := map[string]float64{}, 0.0
	for i := range after {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		for key, count := range after[i].storeCalls {
			rate := (count - before[i].storeCalls[key]) / seconds
			rates[key] += rate
			total += rate
		}
	}
	var keys []string
	for key, rate := range rates {
		if rate > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	instances := float64(len(after))
	for _, key := range keys {
		t.Add(len(after), key, rates[key], rates[key]/instances)
	}
	t.Add(len(after), "all", total, total/instances)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}
