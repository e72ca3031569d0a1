package front_test

import (
	"context"
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
	"peridotgw.example/peridotgw/model"
)

// lostInDrain drains one of two instances under load, with a balancer that notices after 1.5 s, and counts requests
// without a whole answer.
func lostInDrain(setUp func(*path)) (lost, sent int) {
	virtual(func() {
		network := fakeep.NewNetwork()
		a, b := newPath(2, network, "a"), newPath(2, network, "b")
		defer b.close()
		defer a.close()
		setUp(a)
		for _, endpoint := range append(a.endpoints, b.endpoints...) {
			endpoint.Service = func(model.RequestClassID) time.Duration { return 300 * time.Millisecond }
		}
		var target atomic.Pointer[path]
		target.Store(a)
		var mu sync.Mutex
		var group sync.WaitGroup
		began := time.Now()
		for caller := range 24 {
			group.Go(func() {
				for i := 0; time.Since(began) < 6*time.Second; i++ {
					id := fmt.Sprintf("r-%d-%d", caller, i)
					got, err := target.Load().do(target.Load().request("check", id, "x"))
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
		a.server.SetDraining()
		time.Sleep(1500 * time.Millisecond)
		target.Store(b)
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(a.server.Drain(ctx)).To(Succeed())
		group.Wait()
	})
	return lost, sent
}

var _ = Describe("drain", func() {
	It("P8: loses no request under load; guards against a stop that cuts what is in flight", func() {
		lost, sent := lostInDrain(func(*path) {})
		Expect(lost).To(Equal(0))
		Expect(sent).To(BeNumerically(">", 200))
	})

	It("P8: the check reports lost requests when connections are cut", func() {
		lost, _ := lostInDrain(func(p *path) {
			p.server.Linger = time.Millisecond
			p.server.Shut = func(_ context.Context, server *http.Server) error { return server.Close() }
		})
		Expect(lost).To(BeNumerically(">", 0))
	})

	It("tells callers to close connections while it still serves; guards against connections that the stop would cut", func() {
		virtual(func() {
			p := newPath(1, fakeep.NewNetwork(), "a")
			defer p.close()
			p.server.SetDraining()
			request := p.request("check", "r-1", "x")
			got, err := p.client.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusOK))
			Expect(got.Close).To(BeTrue())
			Expect(got.Body.Close()).To(Succeed())
		})
	})

	It("serves connections that were opened before it stopped accepting; guards against resets from the kernel's backlog", func() {
		p := newPath(1, nil, "a")
		defer p.close()
		p.server.Linger = 100 * time.Millisecond
		Expect(p.must(p.request("check", "r-0", "")).status).To(Equal(http.StatusOK), "the instance serves")
		address := strings.TrimPrefix(p.url, "http://")
		c, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Write([]byte("POST /v1/requests/check HTTP/1.1\r\nHost: a\r\nPeridot-Customer: hollow-creek\r\n" +
			"Peridot-Request-Id: r-1\r\nContent-Length: 1\r\n\r\nx"))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(p.server.Drain(ctx)).To(Succeed())
		data := make([]byte, 4096)
		n, err := c.Read(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data[:n])).To(HavePrefix("HTTP/1.1 200 OK"))
		_, err = net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
	})
})
