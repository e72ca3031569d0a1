package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a change that is passed to an instance which is about to stop, and is cut off there, while others stay.
func TestChangesGoToPeersThatStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		net := memnet.New()
		net.SetHandler(testStore, fakepl.NewStore())
		nodes := map[string]*Node{}
		for _, name := range []string{"a", "b", "c", "d"} {
			nodes[name] = startTestNode(ctx, net, name, 1, nil)
		}
		time.Sleep(3 * time.Second)
		peersOf := func(n *Node) map[string]bool {
			peers := map[string]bool{}
			for range 6 {
				for _, peer := range n.relayPeers() {
					peers[string(peer.ID)] = true
				}
			}
			return peers
		}
		nodes["b"].elector.StopSoon(ctx)
		time.Sleep(time.Second)
		g.Expect(peersOf(nodes["a"])).To(Equal(map[string]bool{"c": true, "d": true}))
		nodes["c"].elector.StopSoon(ctx)
		time.Sleep(time.Second)
		g.Expect(peersOf(nodes["a"])).To(Equal(map[string]bool{"b": true, "c": true, "d": true}), "too few of the others stay")
		cancel()
		synctest.Wait()
	})
}
