package kv_test

import (
	"context"
	"sync/atomic"
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

// Guards against a change that stays unseen because its history was dropped while a watch waited.
func TestFollowerSeesChangesWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := fakepl.NewStore()
		store.Put("op/config", []byte("1"))
		net := memnet.New()
		net.Serve("store:1", store)
		var seen atomic.Value
		note := func(value []byte) { seen.Store(string(value)) }
		f := &kv.Follower{
			Store: platform.NewStore(net.Client("a"), "store:1", func(string, string, bool) {}), Prefix: "op/", Log: zerolog.Nop(),
			OnReset: func(items []kv.Item) {
				for _, item := range items {
					note(item.Value)
				}
			},
			OnEvents: func(events []kv.Event) {
				for _, event := range events {
					note(event.Value)
				}
			},
		}
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(300 * time.Millisecond)
		g.Expect(seen.Load()).To(Equal("1"))
		store.Compact()
		store.Put("op/config", []byte("2"))
		store.Compact() // The event is gone before any watch has seen it.
		time.Sleep(1800 * time.Millisecond)
		g.Expect(seen.Load()).To(Equal("2"))
		cancel()
		g.Expect(<-done).To(MatchError(context.Canceled))
	})
}
