package node

import (
	"context"
	"time"

	"peridotgw.example/peridotgw/internal/clock"
	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/wire"
)

const (
	procConfig wire.Procedure = "/peer/config"

	// peerConfigInterval is the time between two questions to peers while the store does not serve this instance.
	peerConfigInterval = 500 * time.Millisecond
)

// configQuery asks for the operators' keys if they have changed after a revision.
type configQuery struct {
	After kv.Revision `cbor:"1,keyasint"`
}

// configAnswer is a snapshot of the operators' keys; Revision is 0 if there is none that is newer.
type configAnswer struct {
	Items    []configItem `cbor:"1,keyasint,omitempty"`
	Revision kv.Revision  `cbor:"2,keyasint"`
}

type configItem struct {
	Key      string      `cbor:"1,keyasint"`
	Value    []byte      `cbor:"2,keyasint"`
	Revision kv.Revision `cbor:"3,keyasint"`
}

// handleConfig answers a peer that the store does not serve.
func (n *Node) handleConfig(_ context.Context, q *configQuery) (*configAnswer, error) {
	items, revision := n.config.snapshot()
	if revision <= q.After {
		return &configAnswer{}, nil
	}
	answer := &configAnswer{Revision: revision}
	for _, item := range items {
		answer.Items = append(answer.Items, configItem{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return answer, nil
}

// followPeers takes the operators' configuration over from peers while the store does not serve this instance, until ctx ends.
// Otherwise callers would be refused for keys and routes that are in force, and served for those that were withdrawn.
func (n *Node) followPeers(ctx context.Context) error {
	for clock.Sleep(ctx, peerConfigInterval) == nil {
		if n.now().Sub(n.service.lastServed()) > serviceGap {
			n.askPeersForConfig(ctx)
		}
	}
	return ctx.Err()
}

func (n *Node) askPeersForConfig(ctx context.Context) {
	_, revision := n.config.snapshot()
	for _, peer := range n.relayPeers() {
		answer, err := wire.Call[configQuery, configAnswer](ctx, n.peerCaller, peer.Address, procConfig, &configQuery{After: revision})
		if err != nil || answer.Revision == 0 {
			continue // The next question goes to other peers.
		}
		items := make([]kv.Item, 0, len(answer.Items))
		for _, item := range answer.Items {
			items = append(items, kv.Item{Key: item.Key, Value: item.Value, Revision: item.Revision})
		}
		if n.config.applySnapshot(items, answer.Revision) {
			n.Log.Info().Str("peer", string(peer.ID)).Uint64("revision", uint64(answer.Revision)).Msg("node: configuration taken over from a peer")
			return
		}
	}
}
