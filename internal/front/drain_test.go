package front_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/serve"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// countLostInDrain drains one of two instances under load and counts the requests without a whole answer. The load balancer moves
// the load to the other instance 1.5 s after the instance began to close connections, and then drain is called.
func countLostInDrain(drain func(*front.Server)) (lost, sent int) {
	inVirtualTime(func() {
		network := fakeep.NewNetwork()
		draining, successor := newGateway(2, network, "a"), newGateway(2, network, "b")
		defer successor.close()
		defer draining.close()
		for _, endpoint := range append(draining.endpoints, successor.endpoints...) {
			endpoint.ServiceTime = func(model.RequestClassID) time.Duration { return 300 * time.Millisecond }
		}
		var target atomic.Pointer[gateway]
		target.Store(draining)
		var mu sync.Mutex
		var callers sync.WaitGroup
		started := time.Now()
		for caller := range 24 {
			callers.Go(func() {
				for i := 0; time.Since(started) < 6*time.Second; i++ {
					id := fmt.Sprintf("r-%d-%d", caller, i)
					got, err := target.Load().send(target.Load().request("check", id, "x"))
					mu.Lock()
					sent++
					if err != nil || got.body != "answer to "+id+": x" {
						lost++
						GinkgoWriter.Println("lost", id, err, got.status, got.err.Reason, got.err.Message)
					}
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		draining.server.SetDraining()
		time.Sleep(1500 * time.Millisecond)
		target.Store(successor)
		time.Sleep(50 * time.Millisecond)
		drain(draining.server)
		callers.Wait()
	})
	return lost, sent
}

var _ = Describe("drain", func() {
	It("P8: loses no request under load; guards against a stop that cuts requests in flight", func() {
		lost, sent := countLostInDrain(func(server *front.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			Expect(server.Drain(ctx)).To(Succeed())
		})
		Expect(lost).To(Equal(0))
		Expect(sent).To(BeNumerically(">", 200))
	})

	// Guards against a check that cannot detect a lost request.
	It("P8: the check reports lost requests when connections are cut", func() {
		lost, _ := countLostInDrain(func(server *front.Server) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // A drain without time cuts the connections.
			var cut *serve.CutError
			Expect(errors.As(server.Drain(ctx), &cut)).To(BeTrue())
		})
		Expect(lost).To(BeNumerically(">", 0))
	})

	It("tells callers to close connections while it still serves; guards against connections that the stop would cut", func() {
		inVirtualTime(func() {
			gw := newGateway(1, fakeep.NewNetwork(), "a")
			defer gw.close()
			gw.server.SetDraining()
			request := gw.request("check", "r-1", "x")
			got, err := gw.client.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusOK))
			Expect(got.Close).To(BeTrue())
			Expect(got.Body.Close()).To(Succeed())
		})
	})

	It("serves connections that were opened before it stopped accepting; guards against resets from the kernel's backlog", func() {
		gw := newGateway(1, nil, "a")
		defer gw.close()
		gw.server.IdleLinger = 100 * time.Millisecond
		Expect(gw.mustSend(gw.request("check", "r-0", "")).status).To(Equal(http.StatusOK), "the instance serves")
		address := strings.TrimPrefix(gw.url, "http://")
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte("POST /v1/requests/check HTTP/1.1\r\nHost: a\r\nPeridot-Customer: hollow-creek\r\n" +
			"Peridot-Request-Id: r-1\r\nContent-Length: 1\r\n\r\nx"))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(gw.server.Drain(ctx)).To(Succeed())
		data := make([]byte, 4096)
		n, err := conn.Read(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data[:n])).To(HavePrefix("HTTP/1.1 200 OK"))
		_, err = net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
	})

	It("refuses on idle connections before it closes them; guards against a request without an answer that arrives just then", func() {
		gw := newGateway(1, nil, "a")
		defer gw.close()
		gw.server.IdleLinger = 100 * time.Millisecond
		Expect(gw.mustSend(gw.request("check", "r-0", "")).status).To(Equal(http.StatusOK), "the instance serves")
		conn, err := net.Dial("tcp", strings.TrimPrefix(gw.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(gw.server.Drain(ctx)).To(Succeed())
		refusal, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(refusal.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.Header.Get(reply.HeaderReason)).To(Equal(string(reply.ReasonDraining)))
		Expect(refusal.Close).To(BeTrue())
		Expect(refusal.Body.Close()).To(Succeed())
	})
})
