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

// followedState is the state that the reports of Follow add up to.
type followedState struct {
	values       map[string]string
	revision     store.Revision
	fullChanges  int
	revisionFell bool // a change had a lower revision than the one before
}

func (s *followedState) apply(c store.Change) {
	s.revisionFell = s.revisionFell || c.Revision < s.revision
	s.revision = c.Revision
	if c.Full {
		s.fullChanges++
	}
	for _, key := range c.Deleted {
		delete(s.values, key)
	}
	for _, entry := range c.Entries {
		s.values[entry.Key] = string(entry.Value)
	}
}

// startFollow runs Follow on /f/ in the background; the returned function ends it.
func startFollow(client *store.Client) (*followedState, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	state := &followedState{values: map[string]string{}}
	go client.Follow(ctx, "/f/", state.apply)
	return state, func() {
		cancel()
		synctest.Wait()
	}
}

var _ = Describe("Follow", func() {
	// Guards against a change that is lost or reverted when faults follow each other in any order.
	It("ends at the state of the service after outages, compaction, stale reads and lost answers", func() {
		steps := rapid.SliceOfN(rapid.IntRange(0, 7), 40, 40)
		for seed := 1; seed <= 20; seed++ {
			fmt.Fprintf(GinkgoWriter, "seed %d\n", seed)
			inVirtualTime(func() {
				kv := fakekv.New()
				writer, want := newClient(kv), map[string]string{}
				client := newClientWithBreaker(kv)
				client.Instance = "follower"
				state, stop := startFollow(client)
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
				Expect(state.values).To(Equal(want))
				Expect(state.revisionFell).To(BeFalse())
				Expect(state.fullChanges).To(Equal(1))
			})()
		}
	})

	// Guards against a change that stays unseen because the service skipped it in a watch.
	It("finds a change that a watch missed within a minute", inVirtualTime(func() {
		kv := fakekv.New()
		// Watches answer that nothing changed, with a revision after that of the change.
		client := newClient(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		state, stop := startFollow(client)
		defer stop()
		time.Sleep(time.Second)
		_, err := client.Put(context.Background(), "/f/a", []byte("x"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(62 * time.Second)
		synctest.Wait()
		Expect(maps.Keys(state.values)).To(ContainElement("/f/a"))
	}))

	// Guards against a stale listing that reverts reported changes.
	It("ignores a listing that is older than what it has reported", inVirtualTime(func() {
		kv := fakekv.New()
		writer, client := newClient(kv), newClient(kv)
		client.Instance = "follower"
		state, stop := startFollow(client)
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
		Expect(state.values).To(And(HaveKey("/f/a"), HaveKey("/f/b"), Not(HaveKey("/f/c"))))
		kv.Set(fakekv.Faults{})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		Expect(state.values).To(HaveKey("/f/c"))
		Expect(state.revisionFell).To(BeFalse())
	}))

	// Guards against a loop of calls without delays that overloads the service.
	It("delays its calls when compaction and stale listings coincide", inVirtualTime(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{StaleReads: true})
		client := newClient(kv)
		entry, err := client.Put(context.Background(), "/f/a", nil, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Delete(context.Background(), "/f/a", entry.Version)).To(Succeed())
		kv.Compact()
		_, stop := startFollow(client)
		time.Sleep(time.Minute)
		stop()
		Expect(kv.Calls()["GET kv"]).To(BeNumerically("<", 100))
	}))

	// Guards against a follower that retries faster than the breaker lets calls through.
	It("tries a service that is down no more often than the breaker probes it", inVirtualTime(func() {
		kv := fakekv.New()
		kv.Set(fakekv.Faults{Down: true})
		_, stop := startFollow(newClientWithBreaker(kv))
		time.Sleep(time.Minute)
		stop()
		Expect(kv.Calls()["GET kv"]).To(BeNumerically("<=", 65))
	}))
})
