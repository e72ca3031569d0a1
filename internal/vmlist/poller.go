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
	DefaultEvery = time.Second
	// callTimeout bounds one poll, so that a service that hangs delays the next poll by a known time.
	callTimeout = 2 * time.Second
	// maxListBytes is ten times the list of 5,000 VMs at about 300 bytes each.
	maxListBytes = 16 << 20
)

// Poller keeps the last good answer of the VM list; a failed poll changes nothing.
type Poller struct {
	Log zerolog.Logger
	URL string
	// Every is the time between polls; zero means DefaultEvery.
	Every time.Duration
	Do    func(*http.Request) (*http.Response, error)

	mu          sync.Mutex
	vms         []VM
	etag        string
	polledAt    time.Time
	subscribers []func([]VM)
}

// StatusError reports an answer other than 200.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("VM list answered status %d", e.Status) }

// Run polls until ctx ends; it returns nil then.
func (p *Poller) Run(ctx context.Context) error {
	every := p.Every
	if every <= 0 {
		every = DefaultEvery
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Msg("vmlist: poll did not succeed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Poll reads the list once and hands it to the subscribers.
func (p *Poller) Poll(ctx context.Context) error {
	p.mu.Lock()
	known := list{vms: p.vms, etag: p.etag}
	p.mu.Unlock()
	current, err := p.fetch(ctx, known)
	if err != nil {
		return err
	}
	vms := current.vms
	p.mu.Lock()
	p.vms, p.etag, p.polledAt = vms, current.etag, time.Now()
	subscribers := slices.Clone(p.subscribers)
	p.mu.Unlock()
	for _, tell := range subscribers {
		tell(slices.Clone(vms))
	}
	return nil
}

// VMs returns the entries of one kind from the last good poll; an empty kind means all.
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

// Age returns the time since the last good poll; ok is false before the first.
func (p *Poller) Age() (age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polledAt.IsZero() {
		return 0, false
	}
	return time.Since(p.polledAt), true
}

// Subscribe calls fn after each good poll, in order, from the polling goroutine.
func (p *Poller) Subscribe(fn func([]VM)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subscribers = append(p.subscribers, fn)
}

// list is one answer of the VM list with its entity tag.
type list struct {
	vms  []VM
	etag string
}

// fetch reads the list. A list that has not changed since the known one is not sent again: at 100 VMs, whole answers were
// most of what an idle instance reads.
func (p *Poller) fetch(ctx context.Context, known list) (current list, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/v1/vms", http.NoBody)
	if err != nil {
		return list{}, eris.Wrap(err, "building the VM list call")
	}
	if known.etag != "" {
		request.Header.Set("If-None-Match", known.etag)
	}
	do := p.Do
	if do == nil {
		do = http.DefaultClient.Do
	}
	answer, err := do(request)
	if err != nil {
		return list{}, eris.Wrap(err, "calling the VM list")
	}
	defer func() {
		if closeErr := answer.Body.Close(); err == nil && closeErr != nil {
			err = eris.Wrap(closeErr, "closing the VM list's answer")
		}
	}()
	switch {
	case answer.StatusCode == http.StatusNotModified && known.etag != "":
		return known, nil
	case answer.StatusCode != http.StatusOK:
		return list{}, &StatusError{Status: answer.StatusCode}
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxListBytes)).Decode(&vms); err != nil {
		return list{}, eris.Wrap(err, "decoding the VM list")
	}
	vms, err = check(vms)
	return list{vms: vms, etag: answer.Header.Get("ETag")}, err
}

// check refuses a list that names a VM twice, because neither entry could be trusted, and leaves out incomplete entries.
func check(vms []VM) ([]VM, error) {
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
