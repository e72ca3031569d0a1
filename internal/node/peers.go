package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/intake"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// Procedures between instances.
const (
	procState   wire.Procedure = "/peer/job-state"
	procPending wire.Procedure = "/peer/pending"
	procChange  wire.Procedure = "/peer/change"
	procYield   wire.Procedure = "/peer/yield"
)

const (
	relayRetryAfter = time.Second
	relayPeers      = 2 // that one change is offered to at a time
	relayLimit      = 800 * time.Millisecond
)

var (
	errNoOwner  = errors.New("no instance schedules")          //nolint:gochecknoglobals // a constant error
	errNotOwner = errors.New("the instance does not schedule") //nolint:gochecknoglobals // a constant error
	errNoPeer   = errors.New("no other instance is known")     //nolint:gochecknoglobals // a constant error
)

type stateQuery struct {
	ID model.JobID `cbor:"1,keyasint"`
}

// ownership is in each answer: whether the answering instance schedules, and otherwise the address of the one that does,
// as far as it knows. An instance that the store does not serve learns of a new leader only so.
type ownership struct {
	Owner  bool   `cbor:"1,keyasint,omitempty"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

type stateAnswer struct {
	State work.State `cbor:"1,keyasint,omitempty"`
	Found bool       `cbor:"2,keyasint,omitempty"`
	Who   ownership  `cbor:"3,keyasint"`
}

type yieldQuery struct {
	Token model.Token `cbor:"1,keyasint"`
}

type yieldAnswer struct{}

type pendingQuery struct{}

type pendingAnswer struct {
	Counts map[work.QueueName]int `cbor:"1,keyasint,omitempty"`
	Who    ownership              `cbor:"2,keyasint"`
}

// verdict is the result of a change at another instance.
type verdict string

const (
	verdictDone    verdict = "done"
	verdictRefused verdict = "refused"
	verdictUnknown verdict = "unknown-job"
	verdictDoubt   verdict = "doubt"
)

type changeAnswer struct {
	Verdict verdict `cbor:"1,keyasint"`
	Message string  `cbor:"2,keyasint,omitempty"`
}

// register serves the procedures.
func (n *Node) register(mux *http.ServeMux) {
	wire.Handle(mux, procState, func(_ context.Context, q *stateQuery) (*stateAnswer, error) {
		chief := n.chief.Load()
		if chief == nil {
			return &stateAnswer{Who: n.ownership(false)}, nil
		}
		state, found := chief.State(q.ID)
		return &stateAnswer{State: state, Found: found, Who: n.ownership(true)}, nil
	})
	wire.Handle(mux, procPending, func(context.Context, *pendingQuery) (*pendingAnswer, error) {
		counts, owner := n.ownPending()
		return &pendingAnswer{Counts: counts, Who: n.ownership(owner)}, nil
	})
	wire.Handle(mux, procChange, func(ctx context.Context, change *intake.Change) (*changeAnswer, error) {
		err := n.desk.Apply(ctx, *change)
		return toAnswer(err), nil
	})
	wire.Handle(mux, procYield, func(ctx context.Context, q *yieldQuery) (*yieldAnswer, error) {
		if err := n.elector.RemoveLeader(ctx, q.Token); err != nil {
			return nil, err
		}
		n.Log.Info().Uint64("token", uint64(q.Token)).Msg("node: term of another instance ended on its request")
		return &yieldAnswer{}, nil
	})
}

// yield has one of the other instances end the term of this one.
func (n *Node) yield(ctx context.Context, term elect.Term) error {
	err := errNoPeer
	for _, peer := range n.relayPeers() {
		if _, err = wire.Call[yieldQuery, yieldAnswer](ctx, n.caller, peer.Address, procYield, &yieldQuery{Token: term.Token}); err == nil {
			return nil
		}
	}
	return err
}

func toAnswer(err error) *changeAnswer {
	var refused *intake.RefusedError
	var unknown *intake.UnknownJobError
	switch {
	case err == nil:
		return &changeAnswer{Verdict: verdictDone}
	case errors.As(err, &refused):
		return &changeAnswer{Verdict: verdictRefused, Message: refused.Error()}
	case errors.As(err, &unknown):
		return &changeAnswer{Verdict: verdictUnknown}
	}
	return &changeAnswer{Verdict: verdictDoubt, Message: err.Error()}
}

func (n *Node) ownPending() (map[work.QueueName]int, bool) {
	chief := n.chief.Load()
	if chief == nil {
		return nil, false
	}
	return chief.Pending()
}

// owner answers for jobs from the memory of the instance that schedules.
func (n *Node) owner() intake.Owner {
	return intake.Owner{State: n.ownerState, Pending: n.ownerPending}
}

// ownership says who schedules.
func (n *Node) ownership(own bool) ownership {
	leader, found := n.elector.Leader()
	if own || !found {
		return ownership{Owner: own}
	}
	return ownership{Leader: leader.Address}
}

const ownerTries = 4 // instances that are asked for the one that schedules

// askOwner calls the instance that schedules. It asks the known leader first, then whom the answers name, then other peers.
func askOwner[Req, Res any](
	ctx context.Context, n *Node, procedure wire.Procedure, query *Req, who func(*Res) ownership,
) (*Res, error) {
	var next []string
	if leader, found := n.elector.Leader(); found {
		next = append(next, leader.Address)
	}
	for _, peer := range n.relayPeers() {
		next = append(next, peer.Address)
	}
	asked := map[string]bool{n.Settings.Peers: true}
	err := errNoOwner
	for len(next) > 0 && len(asked) <= ownerTries {
		address := next[0]
		next = next[1:]
		if asked[address] || address == "" {
			continue
		}
		asked[address] = true
		answer, callErr := wire.Call[Req, Res](ctx, n.caller, address, procedure, query)
		if callErr != nil {
			err = callErr
			continue
		}
		if who(answer).Owner {
			return answer, nil
		}
		err = errNotOwner
		next = append([]string{who(answer).Leader}, next...)
	}
	return nil, err
}

func (n *Node) ownerState(ctx context.Context, id model.JobID) (work.State, bool, error) {
	if chief := n.chief.Load(); chief != nil {
		state, found := chief.State(id)
		return state, found, nil
	}
	answer, err := askOwner(ctx, n, procState, &stateQuery{ID: id}, func(a *stateAnswer) ownership { return a.Who })
	if err != nil {
		return "", false, err
	}
	return answer.State, answer.Found, nil
}

func (n *Node) ownerPending(ctx context.Context) (map[work.QueueName]int, error) {
	if counts, owner := n.ownPending(); owner {
		return counts, nil
	}
	answer, err := askOwner(ctx, n, procPending, &pendingQuery{}, func(a *pendingAnswer) ownership { return a.Who })
	if err != nil {
		return nil, err
	}
	return answer.Counts, nil
}

// relay has other instances carry out a change that the store does not take from this one. They are asked at the same time, and the
// first final result counts.
func (n *Node) relay(ctx context.Context, change intake.Change) error {
	peers := n.relayPeers()
	if len(peers) == 0 {
		return &intake.RefusedError{Cause: errNoPeer, RetryAfter: relayRetryAfter}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- n.relayTo(ctx, peer, change) }()
	}
	var doubt, last error
	for range peers {
		err := <-results
		var unknown *intake.UnknownJobError
		if err == nil || errors.As(err, &unknown) {
			return err
		}
		var refused *intake.RefusedError
		if !errors.As(err, &refused) {
			doubt = err
		}
		last = err
	}
	if doubt != nil {
		return doubt
	}
	return last
}

// relayPeers returns the peers to try, a different first one each time.
func (n *Node) relayPeers() []elect.Node {
	peers := n.elector.Peers()
	if len(peers) <= relayPeers {
		return peers
	}
	first := int(n.relayTurn.Add(relayPeers)) % len(peers)
	chosen := make([]elect.Node, 0, relayPeers)
	for i := range relayPeers {
		chosen = append(chosen, peers[(first+i)%len(peers)])
	}
	return chosen
}

func (n *Node) relayTo(ctx context.Context, peer elect.Node, change intake.Change) error {
	ctx, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	answer, err := wire.Call[intake.Change, changeAnswer](ctx, n.caller, peer.Address, procChange, &change)
	if err != nil {
		return err
	}
	switch answer.Verdict {
	case verdictDone:
		return nil
	case verdictUnknown:
		return &intake.UnknownJobError{ID: change.Cancel}
	case verdictRefused:
		return &intake.RefusedError{Cause: eris.New(answer.Message), RetryAfter: relayRetryAfter}
	}
	return eris.New(answer.Message)
}
