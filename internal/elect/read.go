package elect

import (
	"context"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
)

// ReadLeader returns the instance that the store names as the leader, and whether there is one. Errors are those of the store and of the
// record's encoding.
func ReadLeader(ctx context.Context, store *kv.Store) (leader Node, found bool, err error) {
	item, found, err := store.Get(ctx, leaderKey)
	if err != nil || !found {
		return Node{}, false, err
	}
	leader, err = work.Decode[Node](item.Value)
	return leader, err == nil, err
}
