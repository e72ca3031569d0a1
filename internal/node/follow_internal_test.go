package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against an instance, which the store does not serve, that refuses keys in force and serves keys and zones that were withdrawn;
// and against one that goes back to an older configuration which a peer still has.
func TestConfigurationComesFromPeersWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := memnet.New()
		store := fakepl.NewStore()
		store.Put(fakepl.ConfigKey, fakepl.Config(1, 0))
		net.SetHandler(testStore, store)
		nodes := map[string]*Node{}
		for _, name := range []string{"served", "cut"} {
			n := startTestNode(ctx, net, name, 1, nil)
			n.config.Log = zerolog.Nop()
			follower := &kv.Follower{
				Store: n.store, Prefix: platform.OperatorKeyPrefix, Log: n.Log, OnReset: n.config.reset, OnEvents: n.config.events,
			}
			go func() { _ = follower.Run(ctx) }()  //nolint:errcheck // It ends with the test.
			go func() { _ = n.followPeers(ctx) }() //nolint:errcheck // It ends with the test.
			nodes[name] = n
		}
		time.Sleep(2 * time.Second)
		g.Expect(nodes["cut"].config.Config().Version).To(BeEquivalentTo(1))
		net.SetFault("cut", testStore, memnet.Fault{Refuse: true})
		time.Sleep(2 * time.Second)
		store.Put(fakepl.ConfigKey, fakepl.Config(2, 0))
		store.Put(fakepl.ZoneKey("zone-1"), []byte("{}"))
		time.Sleep(time.Second)
		g.Expect(nodes["cut"].config.Config().Version).To(BeEquivalentTo(2))
		g.Expect(nodes["cut"].config.OutOfService("zone-1")).To(BeTrue())
		g.Expect(nodes["cut"].config.applySnapshot(nil, 1)).To(BeFalse())
		g.Expect(nodes["cut"].config.OutOfService("zone-1")).To(BeTrue())
		cancel()
		synctest.Wait()
	})
}
