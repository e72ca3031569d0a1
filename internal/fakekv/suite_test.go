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

var suite *testing.T

func TestFakekv(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "fakekv")
}

func virtual(body func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}

var _ = Describe("Do", func() {
	It("turns a broken connection into an error after the write was applied", virtual(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{LoseAnswers: 1})
		client := &store.Client{BaseURL: "http://store", Timeout: time.Second, Do: memnet.Do(kv)}
		_, err := client.Put(context.Background(), "/a", []byte("x"), 0, 0)
		var lost *memnet.LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost).To(Equal(&memnet.LostError{From: "client", To: "store"}))
		entry, err := client.Get(context.Background(), "/a", 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("x"))
	}))

	It("returns when the caller's time ends, while the handler goes on", virtual(func() {
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

var _ = Describe("LapseLeases", func() {
	It("keeps the leases of claims and records, which no pause outlasts", virtual(func() {
		kv := fakekv.New()
		client := &store.Client{BaseURL: "http://store", Timeout: time.Second, Do: memnet.Do(kv)}
		ctx := context.Background()
		for key, ttl := range map[string]time.Duration{"/short": 5 * time.Second, "/long": time.Hour} {
			lease, err := client.Grant(ctx, ttl)
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Put(ctx, key, nil, 0, lease.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		kv.LapseLeases()
		listing, err := client.List(ctx, "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Entries).To(HaveLen(1))
		Expect(listing.Entries[0].Key).To(Equal("/long"))
	}))
})
