package store_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/store"
)

// mirror is the state that a follower has seen.
type mirror struct {
	values    map[string]string
	revision  store.Revision
	fulls     int
	backwards bool
}

func (m *mirror) apply(c store.Change) {
	m.backwards = m.backwards || c.Revision < m.revision
	m.revision = c.Revision
	if c.Full {
		m.fulls++
	}
	for _, key := range c.Deleted {
		delete(m.values, key)
	}
	for _, entry := range c.Entries {
		m.values[entry.Key] = string(entry.Value)
	}
}

func follow(client *store.Client) (*mirror, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mirror{values: map[string]string{}}
	go client.Follow(ctx, "/f/", m.apply)
	return m, func() {
		cancel()
		synctest.Wait()
	}
}

var _ = Describe("Follow", func() {
	It("ends at the state of the service after outages, compaction, stale reads and lost answers", func() {
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 40, 40)
		for seed := 1; seed <= 20; seed++ {
			fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
			virtual(func() {
				kv := fakekv.New()
				writer, want := clientOf(kv), map[string]string{}
				client := withBreaker(kv)
				client.Instance = "follower"
				m, stop := follow(client)
				defer stop()
				for i, step := range steps.Example(seed) {
					key := fmt.Sprintf("/f/%d", i%5)
					switch step {
					case 0:
						kv.Set(fakekv.Faults{DownFor: "follower"})
					case 1:
						kv.Set(fakekv.Faults{StaleReads: true})
					case 2:
						kv.Set(fakekv.Faults{})
					case 3:
						kv.Compact()
					case 4:
						entry, err := writer.Get(context.Background(), key, kv.Revision())
						if err == nil {
							Expect(writer.Delete(context.Background(), key, entry.Version)).To(Succeed())
							delete(want, key)
						}
					default:
						entry, _ := writer.Get(context.Background(), key, kv.Revision())
						_, err := writer.Put(context.Background(), key, fmt.Append(nil, i), entry.Version, 0)
						Expect(err).NotTo(HaveOccurred())
						want[key] = fmt.Sprint(i)
					}
					time.Sleep(time.Duration(step) * 300 * time.Millisecond)
				}
				kv.Set(fakekv.Faults{})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				Expect(m.values).To(Equal(want))
				Expect(m.backwards).To(BeFalse())
				Expect(m.fulls).To(Equal(1))
			})()
		}
	})

	It("finds a change that a watch missed within a minute", virtual(func() {
		kv := fakekv.New()
		// Watches answer that nothing changed, but the revision that they state has moved past the change.
		client := clientOf(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/watch" {
				select {
				case <-r.Context().Done():
				case <-time.After(time.Second):
				}
				fmt.Fprintf(w, `{"entries":[],"revision":%d}`, kv.Revision())
				return
			}
			kv.ServeHTTP(w, r)
		}))
		m, stop := follow(client)
		defer stop()
		time.Sleep(time.Second)
		_, err := client.Put(context.Background(), "/f/a", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(62 * time.Second)
		synctest.Wait()
		Expect(maps.Keys(m.values)).To(ContainElement("/f/a"))
	}))

	It("ignores a listing that is older than what it has reported", virtual(func() {
		kv := fakekv.New()
		writer, client := clientOf(kv), clientOf(kv)
		client.Instance = "follower"
		m, stop := follow(client)
		defer stop()
		put := func(key string) {
			_, err := writer.Put(context.Background(), key, []byte("x"), 0, 0)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
			synctest.Wait()
		}
		put("/f/a")
		kv.Set(fakekv.Faults{StaleReads: true})
		put("/f/b")
		kv.Set(fakekv.Faults{StaleReads: true, DownFor: "follower"})
		put("/f/c")
		kv.Compact()
		kv.Set(fakekv.Faults{StaleReads: true})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		Expect(m.values).To(And(HaveKey("/f/a"), HaveKey("/f/b"), Not(HaveKey("/f/c"))))
		kv.Set(fakekv.Faults{})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		Expect(m.values).To(HaveKey("/f/c"))
		Expect(m.backwards).To(BeFalse())
	}))

	It("pauses when compaction meets stale listings, which hot loops would overload", virtual(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{StaleReads: true})
		client := clientOf(kv)
		entry, err := client.Put(context.Background(), "/f/a", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Delete(context.Background(), "/f/a", entry.Version)).To(Succeed())
		kv.Compact()
		_, stop := follow(client)
		time.Sleep(time.Minute)
		stop()
		Expect(kv.Calls()["GET kv"]).To(BeNumerically("<", 100))
	}))

	It("tries a service that is down no more often than the breaker probes it", virtual(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{Down: true})
		_, stop := follow(withBreaker(kv))
		time.Sleep(time.Minute)
		stop()
		Expect(kv.Calls()["GET kv"]).To(BeNumerically("<=", 65))
	}))
})
