package elect

import (
	"strings"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/work"
)

// reset replaces the known leader and nodes by a snapshot of Prefix.
func (e *Elector) reset(items []kv.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes = map[string]Node{}
	e.leader = kv.Item{}
	for _, item := range items {
		e.applyEvent(kv.Event{Item: item})
	}
	e.synced = true
	e.endTermIfSuperseded()
}

// events applies later changes under Prefix.
func (e *Elector) events(events []kv.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		e.applyEvent(event)
	}
	e.endTermIfSuperseded()
}

// applyEvent updates the known leader and nodes; e.mu is held.
func (e *Elector) applyEvent(event kv.Event) {
	if event.Key == leaderKey {
		if event.Revision < e.leader.Revision {
			return
		}
		e.leaderSeen = true
		e.setLeader(event)
		return
	}
	if event.Key == NoticeKey && !event.Removed {
		e.noteNotice(event.Revision)
		return
	}
	id, found := strings.CutPrefix(event.Key, nodePrefix)
	if !found {
		return
	}
	if event.Removed {
		delete(e.nodes, id)
		return
	}
	node, err := work.Decode[Node](event.Value)
	if err != nil {
		e.Log.Warn().Err(err).Str("key", event.Key).Msg("elect: registration cannot be decoded, ignored")
		return
	}
	e.nodes[id] = node
}

// setLeader takes over a change of the leader key; e.mu is held. It is logged on each instance: the lines of a job are on the accepting
// instance and on the leaders alone.
func (e *Elector) setLeader(event kv.Event) {
	if event.Removed {
		e.leader = kv.Item{}
		e.Log.Info().Uint64("revision", uint64(event.Revision)).Msg("elect: no leader known")
		return
	}
	if event.Revision == e.loggedLeader {
		e.leader = event.Item
		return
	}
	e.leader, e.loggedLeader = event.Item, event.Revision
	node, err := work.Decode[Node](event.Value)
	e.Log.Info().Err(err).Str("leader", string(node.ID)).Uint64("token", uint64(event.Revision)).Msg("elect: leader known")
}

// endTermIfSuperseded ends the current term when the store has a newer leader; e.mu is held.
func (e *Elector) endTermIfSuperseded() {
	if e.term != nil && e.leader.Revision > kv.Revision(e.term.Token) {
		e.endCurrentTerm("succeeded by another instance")
	}
}
