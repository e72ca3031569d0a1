package kernel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Name identifies a service in its Kernel.
type Name string

// Service is a component of the daemon.
type Service struct {
	Name Name
	// Needs names the services that start before this one and stop after it.
	Needs []Name
	// Value is what Find returns for this service.
	Value any
	// Run runs the service until ctx ends; an error other than context.Canceled stops the daemon. A nil Run is allowed.
	Run func(ctx context.Context) error
	// Stop shuts the service down gracefully before the ctx of Run is cancelled. It must return when its own ctx ends. A nil Stop is
	// allowed.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of a process. All services must be added before Run; Find may be used concurrently after that.
type Kernel struct {
	Log zerolog.Logger
	// StopTimeout bounds the graceful stop of all services together.
	StopTimeout time.Duration

	services map[Name]Service
	order    []Name // in the order of Add
}

// UnknownServiceError reports that no service has this name, or that its value has another type.
type UnknownServiceError struct {
	Name Name
	Want string // requested type
}

// Error names the service and the requested type.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q with a value of type %s does not exist", e.Name, e.Want)
}

// DependencyError reports a dependency that does not exist or closes a cycle.
type DependencyError struct {
	Name, Needs Name
	Cycle       bool
}

// Error names the service and the dependency.
func (e *DependencyError) Error() string {
	if e.Cycle {
		return fmt.Sprintf("service %q needs %q, which closes a cycle", e.Name, e.Needs)
	}
	return fmt.Sprintf("service %q needs %q, which does not exist", e.Name, e.Needs)
}

// New returns a kernel without services.
func New(log zerolog.Logger, stopTimeout time.Duration) *Kernel {
	return &Kernel{Log: log, StopTimeout: stopTimeout, services: map[Name]Service{}}
}

// Add registers a service and replaces an earlier one of the same name. It must not be called after Run.
func (k *Kernel) Add(service Service) {
	if _, found := k.services[service.Name]; !found {
		k.order = append(k.order, service.Name)
	}
	k.services[service.Name] = service
}

// Find returns the value of a service, or an UnknownServiceError if the service does not exist or its value has another type.
func Find[T any](k *Kernel, name Name) (T, error) {
	value, ok := k.services[name].Value.(T)
	if !ok {
		return value, &UnknownServiceError{Name: name, Want: fmt.Sprintf("%T", value)}
	}
	return value, nil
}

// Run starts all services, waits until ctx ends or a service returns an error, and stops the services in reverse order. It returns
// the joined errors of all services, or a DependencyError if the services cannot be ordered.
func (k *Kernel) Run(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(runCtx)
	for _, name := range order {
		service := k.services[name]
		if service.Run == nil {
			continue
		}
		group.Go(func() error {
			if err := service.Run(groupCtx); err != nil && !errors.Is(err, context.Canceled) {
				return eris.Wrapf(err, "running service %q", service.Name)
			}
			return nil
		})
	}
	k.Log.Info().Int("services", len(order)).Msg("kernel: services started")
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := k.stopServices(runCtx, order)
	cancel()
	return errors.Join(stopErr, group.Wait())
}

// stopServices stops the services in reverse order, all within StopTimeout. An error does not prevent the stop of the others.
func (k *Kernel) stopServices(ctx context.Context, order []Name) error {
	stopCtx, cancel := context.WithTimeout(ctx, k.StopTimeout)
	defer cancel()
	var errs []error
	for i := len(order) - 1; i >= 0; i-- {
		service := k.services[order[i]]
		if service.Stop == nil {
			continue
		}
		if err := service.Stop(stopCtx); err != nil {
			errs = append(errs, eris.Wrapf(err, "stopping service %q", service.Name))
		}
		k.Log.Debug().Str("service", string(service.Name)).Msg("kernel: service stopped")
	}
	return errors.Join(errs...)
}

// startOrder sorts the services so that each comes after those that it needs, by a depth-first search. Otherwise the order of Add is
// kept. It returns a DependencyError for a missing service or a cycle.
func (k *Kernel) startOrder() ([]Name, error) {
	const (
		visiting = 1
		visited  = 2
	)
	states := map[Name]int{}
	var order []Name
	var visit func(name Name) error
	visit = func(name Name) error {
		states[name] = visiting
		for _, needs := range k.services[name].Needs {
			if _, found := k.services[needs]; !found {
				return &DependencyError{Name: name, Needs: needs}
			}
			switch states[needs] {
			case visiting:
				return &DependencyError{Name: name, Needs: needs, Cycle: true}
			case visited:
				continue
			}
			if err := visit(needs); err != nil {
				return err
			}
		}
		states[name] = visited
		order = append(order, name)
		return nil
	}
	for _, name := range k.order {
		if states[name] == visited {
			continue
		}
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
