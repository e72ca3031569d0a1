package kernel_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kernel"
)

var _ = Describe("Kernel", func() {
	var (
		k       *kernel.Kernel
		mu      sync.Mutex
		stopped []kernel.Name
	)

	service := func(name kernel.Name, needs ...kernel.Name) kernel.Service {
		return kernel.Service{
			Name: name, Needs: needs, Value: string(name),
			Run: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			Stop: func(context.Context) error {
				mu.Lock()
				defer mu.Unlock()
				stopped = append(stopped, name)
				return nil
			},
		}
	}

	BeforeEach(func() {
		k = kernel.New(zerolog.Nop(), time.Second)
		stopped = nil
	})

	// Guards against a service that stops before its dependants and fails their last calls.
	It("stops services before those that they need", func() {
		k.Add(service("front", "relay", "config"))
		k.Add(service("relay", "config"))
		k.Add(service("config"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(k.Run(ctx)).To(Succeed())
		Expect(stopped).To(Equal([]kernel.Name{"front", "relay", "config"}))
	})

	// Guards against a daemon that keeps serving with wrong answers after one of its services has failed.
	It("stops all services when one returns an error", func() {
		cause := errors.New("port is taken")
		broken := service("broken")
		broken.Run = func(context.Context) error { return cause }
		k.Add(service("config"))
		k.Add(broken)
		Expect(k.Run(context.Background())).To(MatchError(cause))
		Expect(stopped).To(ConsistOf(kernel.Name("config"), kernel.Name("broken")))
	})

	// Guards against a graceful stop after the services' context has ended, which aborts requests in flight.
	It("calls Stop before the services' context ends", func() {
		var runCtx context.Context
		started := make(chan struct{})
		runCtxErr := errors.New("not called")
		k.Add(kernel.Service{
			Name: "front",
			Run: func(ctx context.Context) error {
				runCtx = ctx
				close(started)
				<-ctx.Done()
				return nil
			},
			Stop: func(context.Context) error {
				runCtxErr = runCtx.Err()
				return nil
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-started
			cancel()
		}()
		Expect(k.Run(ctx)).To(Succeed())
		Expect(runCtxErr).NotTo(HaveOccurred())
	})

	// Guards against a daemon that starts although a dependency is missing or circular.
	DescribeTable("refuses dependencies that cannot be ordered",
		func(wantCycle bool, services ...kernel.Service) {
			for _, s := range services {
				k.Add(s)
			}
			var dependency *kernel.DependencyError
			Expect(errors.As(k.Run(context.Background()), &dependency)).To(BeTrue())
			Expect(dependency.Cycle).To(Equal(wantCycle))
		},
		Entry("a missing service", false, kernel.Service{Name: "front", Needs: []kernel.Name{"relay"}}),
		Entry("a cycle", true,
			kernel.Service{Name: "front", Needs: []kernel.Name{"relay"}},
			kernel.Service{Name: "relay", Needs: []kernel.Name{"front"}}),
	)

	// Guards against a value of the wrong type reaching a service.
	It("finds services by name and type", func() {
		k.Add(service("config"))
		Expect(kernel.Find[string](k, "config")).To(Equal("config"))
		_, err := kernel.Find[int](k, "config")
		var unknown *kernel.UnknownServiceError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(unknown.Name).To(Equal(kernel.Name("config")))
	})
})
