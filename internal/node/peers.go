package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
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
	procReserve wire.Procedure = "/peer/reserve"
)

const (
	relayRetryAfter = time.Second
	relayPeers      = 2 // peers that one attempt relays a change to
	relayTimeout    = 800 * time.Millisecond
)

var (
	errNoOwner  = errors.New("no instance schedules")                           //nolint:gochecknoglobals // a constant error
	errNotOwner = errors.New("the instance does not schedule")                  //nolint:gochecknoglobals // a constant error
	errUnserved = errors.New("the store does not serve this instance steadily") //nolint:gochecknoglobals // a constant error
	errNoPeer   = errors.New("no other instance is known")                      //nolint:gochecknoglobals // a constant error
)

type stateQuery struct {
	ID model.JobID `cbor:"1,keyasint"`
}

// ownership is part of each answer: whether the answering instance schedules, and otherwise the address of the leader that it
// knows. An instance that the store does not serve learns of a new leader only from these answers.
type ownership struct {
	Owner  bool   `cbor:"1,keyasint,omitempty"`
	Leader string `cbor:"2,keyasint,omitempty"`
}

type stateAnswer struct {
	State     work.State `cbor:"1,keyasint,omitempty"`
	Found     bool       `cbor:"2,keyasint,omitempty"`
	Ownership ownership  `cbor:"3,keyasint"`
}

type yieldQuery struct {
	Token model.Token `cbor:"1,keyasint"`
}

// yieldAnswer reports why a term was certainly not ended; Refused is empty if it has.
type yieldAnswer struct {
	Refused string `cbor:"1,keyasint,omitempty"`
}

type pendingQuery struct{}

type pendingAnswer struct {
	Counts    map[work.QueueName]int `cbor:"1,keyasint,omitempty"`
	Ownership ownership              `cbor:"2,keyasint"`
}

// changeResult is the result of a change that was relayed to another instance.
type changeResult string

const (
	resultDone       changeResult = "done"
	resultRefused    changeResult = "refused"
	resultUnknownJob changeResult = "unknown-job"
	resultCancelled  changeResult = "cancelled"
	resultDoubt      changeResult = "doubt"
)

type changeAnswer struct {
	Result  changeResult `cbor:"1,keyasint"`
	Message string       `cbor:"2,keyasint,omitempty"`
}

// registerPeerHandlers registers the procedures that peers call.
func (n *Node) registerPeerHandlers(mux *http.ServeMux) {
	wire.Handle(mux, procState, func(_ context.Context, q *stateQuery) (*stateAnswer, error) {
		chief := n.chief.Load()
		if chief == nil {
			return &stateAnswer{Ownership: n.ownership(false)}, nil
		}
		state, found := chief.State(q.ID)
		return &stateAnswer{State: state, Found: found, Ownership: n.ownership(true)}, nil
	})
	wire.Handle(mux, procPending, func(context.Context, *pendingQuery) (*pendingAnswer, error) {
		counts, owner := n.localPending()
		return &pendingAnswer{Counts: counts, Ownership: n.ownership(owner)}, nil
	})
	wire.Handle(mux, procChange, func(ctx context.Context, change *intake.Change) (*changeAnswer, error) {
		err := n.jobIntake.Apply(ctx, *change)
		return toChangeAnswer(err), nil
	})
	wire.Handle(mux, procAnnounce, n.handleAnnounce)
	wire.Handle(mux, procReserve, n.handleReserve)
	wire.Handle(mux, procConfig, n.handleConfig)
	wire.Handle(mux, procTenants, n.handleTenants)
	wire.Handle(mux, procYield, func(ctx context.Context, q *yieldQuery) (*yieldAnswer, error) {
		if !n.service.steady(n.now()) {
			return &yieldAnswer{Refused: errUnserved.Error()}, nil
		}
		var refused *elect.YieldRefusedError
		if err := n.elector.RemoveLeader(ctx, q.Token); errors.As(err, &refused) {
			return &yieldAnswer{Refused: refused.Error()}, nil
		} else if err != nil {
			return nil, err
		}
		n.Log.Info().Uint64("token", uint64(q.Token)).Msg("node: term of another instance ended at its request")
		return &yieldAnswer{}, nil
	})
}

// yieldLeadership asks the other instances, one after another, to end the term of this one, until one may have done so. Errors are
// those of elect.Elector.Yield.
func (n *Node) yieldLeadership(ctx context.Context, term elect.Term) error {
	cause := errNoPeer
	for _, peer := range n.relayPeers() {
		answer, err := wire.Call[yieldQuery, yieldAnswer](ctx, n.peerCaller, peer.Address, procYield, &yieldQuery{Token: term.Token})
		var notSent *net.OpError
		switch {
		case err == nil && answer.Refused == "":
			return nil
		case err == nil:
			cause = eris.New(answer.Refused)
		case errors.As(err, &notSent) && notSent.Op == "dial":
			cause = err
		default:
			return err
		}
	}
	return &elect.YieldRefusedError{Cause: cause}
}

func toChangeAnswer(err error) *changeAnswer {
	var refused *intake.RefusedError
	var unknown *intake.UnknownJobError
	var cancelled *intake.CancelledError
	switch {
	case err == nil:
		return &changeAnswer{Result: resultDone}
	case errors.As(err, &refused):
		return &changeAnswer{Result: resultRefused, Message: refused.Error()}
	case errors.As(err, &unknown):
		return &changeAnswer{Result: resultUnknownJob}
	case errors.As(err, &cancelled):
		return &changeAnswer{Result: resultCancelled}
	}
	return &changeAnswer{Result: resultDoubt, Message: err.Error()}
}

// localPending returns the pending jobs by queue if this instance schedules and has loaded the jobs; otherwise the result is false.
func (n *Node) localPending() (map[work.QueueName]int, bool) {
	chief := n.chief.Load()
	if chief == nil {
		return nil, false
	}
	return chief.Pending()
}

// owner returns the queries to the instance that schedules, which may be this one.
func (n *Node) owner() intake.Owner {
	return intake.Owner{State: n.ownerState, Pending: n.ownerPending, Reserve: n.ownerReserve}
}

// ownership returns the ownership for an answer; own tells whether this instance schedules.
func (n *Node) ownership(own bool) ownership {
	leader, found := n.elector.Leader()
	if own || !found {
		return ownership{Owner: own}
	}
	return ownership{Leader: leader.Address}
}

const maxOwnerCalls = 4 // calls made to find the instance that schedules

// callOwner calls a procedure of the instance that schedules. It tries the known leader first, then the leaders that answers name,
// then other peers.
func callOwner[Req, Res any](
	ctx context.Context, n *Node, procedure wire.Procedure, query *Req, ownershipOf func(*Res) ownership,
) (*Res, error) {
	var candidates []string
	if leader, found := n.elector.Leader(); found {
		candidates = append(candidates, leader.Address)
	}
	for _, peer := range n.relayPeers() {
		candidates = append(candidates, peer.Address)
	}
	called := map[string]bool{n.Settings.Peers: true}
	err := errNoOwner
	for len(candidates) > 0 && len(called) <= maxOwnerCalls {
		address := candidates[0]
		candidates = candidates[1:]
		if called[address] || address == "" {
			continue
		}
		called[address] = true
		answer, callErr := wire.Call[Req, Res](ctx, n.peerCaller, address, procedure, query)
		if callErr != nil {
			err = callErr
			continue
		}
		if ownershipOf(answer).Owner {
			return answer, nil
		}
		err = errNotOwner
		candidates = append([]string{ownershipOf(answer).Leader}, candidates...)
	}
	return nil, err
}

func (n *Node) ownerState(ctx context.Context, id model.JobID) (work.State, bool, error) {
	if chief := n.chief.Load(); chief != nil {
		state, found := chief.State(id)
		return state, found, nil
	}
	answer, err := callOwner(ctx, n, procState, &stateQuery{ID: id}, func(a *stateAnswer) ownership { return a.Ownership })
	if err != nil {
		return "", false, err
	}
	return answer.State, answer.Found, nil
}

func (n *Node) ownerPending(ctx context.Context) (map[work.QueueName]int, error) {
	if counts, owner := n.localPending(); owner {
		return counts, nil
	}
	answer, err := callOwner(ctx, n, procPending, &pendingQuery{}, func(a *pendingAnswer) ownership { return a.Ownership })
	if err != nil {
		return nil, err
	}
	return answer.Counts, nil
}

// relayChange applies a change through other instances when the store does not serve this one. The calls run concurrently, and the
// first final result wins.
func (n *Node) relayChange(ctx context.Context, change intake.Change) error {
	peers := n.relayPeers()
	if len(peers) == 0 {
		return &intake.RefusedError{Cause: errNoPeer, RetryAfter: relayRetryAfter}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- n.relayToPeer(ctx, peer, change) }()
	}
	var doubt, last error
	for range peers {
		err := <-results
		if intake.IsFinal(err) {
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

// relayPeers returns the next peers to relay to, rotating through all peers; the constant of the same name limits their number.
func (n *Node) relayPeers() []elect.Node {
	peers := n.elector.Peers()
	if stay := staying(peers); len(stay) >= relayPeers {
		peers = stay
	}
	if len(peers) <= relayPeers {
		return peers
	}
	first := int(n.relayOffset.Add(relayPeers)) % len(peers)
	chosen := make([]elect.Node, 0, relayPeers)
	for i := range relayPeers {
		chosen = append(chosen, peers[(first+i)%len(peers)])
	}
	return chosen
}

// staying returns the peers that are not about to stop.
func staying(peers []elect.Node) []elect.Node {
	return slices.DeleteFunc(slices.Clone(peers), func(peer elect.Node) bool { return peer.Stopping })
}

// relayToPeer applies a change through one instance. Its errors are those of intake.Service.Apply; without an answer, the change may
// have taken effect.
func (n *Node) relayToPeer(ctx context.Context, peer elect.Node, change intake.Change) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := wire.Call[intake.Change, changeAnswer](ctx, n.peerCaller, peer.Address, procChange, &change)
	var notSent *net.OpError
	if errors.As(err, &notSent) && notSent.Op == "dial" {
		return &intake.RefusedError{Cause: err, RetryAfter: relayRetryAfter}
	}
	if err != nil {
		return err
	}
	switch answer.Result {
	case resultDone:
		return nil
	case resultUnknownJob:
		return &intake.UnknownJobError{ID: change.ID()}
	case resultCancelled:
		return &intake.CancelledError{ID: change.ID()}
	case resultRefused:
		return &intake.RefusedError{Cause: eris.New(answer.Message), RetryAfter: relayRetryAfter}
	}
	return eris.New(answer.Message)
}
