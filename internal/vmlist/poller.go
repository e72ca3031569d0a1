package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Limits of a poll.
const (
	// DefaultPollInterval is the time between polls of a Poller without a PollInterval.
	DefaultPollInterval = time.Second
	// pollTimeout bounds one poll, so that a service that hangs delays the next poll by a known time.
	pollTimeout = 2 * time.Second
	// maxListBytes bounds the list in bytes; it is about ten times the size of a list of 5,000 VMs at 300 bytes each.
	maxListBytes = 16 << 20
)

// Poller keeps the VM list of the last successful poll; a failed poll changes nothing. Its methods may be called concurrently.
type Poller struct {
	Log zerolog.Logger
	// URL is the base URL of the service.
	URL string
	// PollInterval is the time between polls; zero means DefaultPollInterval.
	PollInterval time.Duration
	// Do sends a request; nil means http.DefaultClient.Do.
	Do func(*http.Request) (*http.Response, error)

	// mu guards the fields below.
	mu          sync.Mutex
	vms         []VM
	etag        string // entity tag of vms; empty if the service sent none
	polledAt    time.Time
	subscribers []func([]VM)
}

// StatusError reports a status that is neither 200 nor the 304 of an unchanged list.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("VM list answered status %d", e.Status) }

// Run polls until ctx ends; it returns nil then.
func (p *Poller) Run(ctx context.Context) error {
	interval := p.PollInterval
	if interval <= 0 {
		interval = DefaultPollInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Msg("vmlist: poll failed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Poll reads the list once and calls the subscribers with it. It returns StatusError or the error of the call or of decoding.
func (p *Poller) Poll(ctx context.Context) error {
	p.mu.Lock()
	previous := listVersion{vms: p.vms, etag: p.etag}
	p.mu.Unlock()
	current, err := p.fetch(ctx, previous)
	if err != nil {
		return err
	}
	vms := current.vms
	p.mu.Lock()
	p.vms, p.etag, p.polledAt = vms, current.etag, time.Now()
	subscribers := slices.Clone(p.subscribers)
	p.mu.Unlock()
	for _, notify := range subscribers {
		notify(slices.Clone(vms))
	}
	return nil
}

// VMs returns the entries of one kind from the last successful poll; an empty kind means all. It returns none before the first poll.
func (p *Poller) VMs(kind Kind) []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []VM
	for _, vm := range p.vms {
		if kind == "" || vm.Kind == kind {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Age returns the time since the last successful poll; ok is false before the first.
func (p *Poller) Age() (age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polledAt.IsZero() {
		return 0, false
	}
	return time.Since(p.polledAt), true
}

// Subscribe registers fn, which is called after each successful poll, in order, from the goroutine that polls.
func (p *Poller) Subscribe(fn func([]VM)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers = append(p.subscribers, fn)
}

// listVersion is the VM list with the entity tag that identifies its version.
type listVersion struct {
	vms  []VM
	etag string
}

// fetch reads the list. The service does not send a list again that is unchanged since previous: at 100 VMs, whole lists were
// most of the bytes that an idle instance read.
func (p *Poller) fetch(ctx context.Context, previous listVersion) (current listVersion, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/v1/vms", http.NoBody)
	if err != nil {
		return listVersion{}, eris.Wrap(err, "building the VM list call")
	}
	if previous.etag != "" {
		request.Header.Set("If-None-Match", previous.etag)
	}
	do := p.Do
	if do == nil {
		do = http.DefaultClient.Do
	}
	response, err := do(request)
	if err != nil {
		return listVersion{}, eris.Wrap(err, "calling the VM list")
	}
	defer func() {
		if closeErr := response.Body.Close(); err == nil && closeErr != nil {
			err = eris.Wrap(closeErr, "closing the VM list's answer")
		}
	}()
	switch {
	case response.StatusCode == http.StatusNotModified && previous.etag != "":
		return previous, nil
	case response.StatusCode != http.StatusOK:
		return listVersion{}, &StatusError{Status: response.StatusCode}
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return listVersion{}, eris.Wrap(err, "decoding the VM list")
	}
	vms, err = validateVMs(vms)
	return listVersion{vms: vms, etag: response.Header.Get("ETag")}, err
}

// validateVMs rejects a list that names a VM twice, because neither entry can be trusted, and drops incomplete entries.
func validateVMs(vms []VM) ([]VM, error) {
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if seen[vm.Name] {
			return nil, eris.Errorf("VM list names %q twice", vm.Name)
		}
		seen[vm.Name] = true
	}
	return slices.DeleteFunc(vms, func(vm VM) bool {
		return vm.Name == "" || vm.Address == "" || vm.DataCentre == ""
	}), nil
}
