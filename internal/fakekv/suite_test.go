package fakekv_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/store"
)

// suiteT is the test under which synctest runs the specs.
var suiteT *testing.T

func TestFakekv(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakekv")
}

// virtual returns a spec body that runs under virtual time.
func virtual(body func()) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

var _ = Describe("Do", func() {
	// Guards against a lost answer that hides an applied write or looks like a refused connection.
	It("turns a broken connection into an error after the write was applied", virtual(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{LoseAnswers: 1})
		client := &store.Client{BaseURL: "http://store", Timeout: time.Second, Do: memnet.Do(kv)}
		_, err := client.Put(context.Background(), "/a", []byte("x"), 0, 0)
		var lost *memnet.ResetError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost).To(Equal(&memnet.ResetError{From: "client", To: "store"}))
		entry, err := client.Get(context.Background(), "/a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("x"))
	}))

	// Guards against a timeout that stops the handler, which a real server doesn't do.
	It("returns at the caller's deadline while the handler keeps running", virtual(func() {
		applied := false
		do := memnet.Do(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(3 * time.Second)
			applied = true
		}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://store/", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		_, err = do(request)
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue())
		Expect(time.Since(started)).To(Equal(time.Second))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		Expect(applied).To(BeTrue())
	}))
})

var _ = Describe("ExpireShortLeases", func() {
	// Guards against a simulated pause that also ends the long leases of claims and records.
	It("keeps the long leases of claims and records", virtual(func() {
		kv := fakekv.New()
		client := &store.Client{BaseURL: "http://store", Timeout: time.Second, Do: memnet.Do(kv)}
		ctx := context.Background()
		for key, ttl := range map[string]time.Duration{"/short": 5 * time.Second, "/long": time.Hour} {
			lease, err := client.Grant(ctx, ttl)
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Put(ctx, key, nil, 0, lease.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		kv.ExpireShortLeases()
		listing, err := client.List(ctx, "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		Expect(listing.Entries[0].Key).To(Equal("/long"))
	}))
})
