package node

import (
	"context"
	"errors"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/memory"
	"peridotgw.example/peridotgw/model"
)

// jobMemoryShare is the divisor of the memory of the smallest instance that all jobs may take in the one that schedules: any of them may be
// the next one. The heap's growth between collections comes on top.
const jobMemoryShare = 8

// reserveQuery asks the instance that schedules for memory for a job.
type reserveQuery struct {
	ID   model.JobID  `cbor:"1,keyasint"`
	Size budget.Bytes `cbor:"2,keyasint"`
}

// reserveAnswer holds the error of the reservation; at most one of them is set.
type reserveAnswer struct {
	Full      *memory.FullError     `cbor:"1,keyasint,omitempty"`
	TooLarge  *memory.TooLargeError `cbor:"2,keyasint,omitempty"`
	Ownership ownership             `cbor:"3,keyasint"`
}

// err returns the error of the reservation, or nil.
func (a *reserveAnswer) err() error {
	switch {
	case a.Full != nil:
		return a.Full
	case a.TooLarge != nil:
		return a.TooLarge
	}
	return nil
}

// handleReserve answers a peer that asks for memory for a job.
func (n *Node) handleReserve(_ context.Context, q *reserveQuery) (*reserveAnswer, error) {
	return n.reserve(q), nil
}

// reserve asks the scheduler of this instance, if it has one.
func (n *Node) reserve(q *reserveQuery) *reserveAnswer {
	answer := &reserveAnswer{Ownership: n.ownership(false)}
	scheduler := n.chief.Load()
	if scheduler == nil {
		return answer
	}
	owner, err := scheduler.Reserve(q.ID, q.Size)
	answer.Ownership = n.ownership(owner)
	errors.As(err, &answer.Full)
	errors.As(err, &answer.TooLarge)
	return answer
}

// ownerReserve asks the instance that schedules, which may be this one.
func (n *Node) ownerReserve(ctx context.Context, id model.JobID, size budget.Bytes) error {
	query := &reserveQuery{ID: id, Size: size}
	if answer := n.reserve(query); answer.Ownership.Owner {
		return answer.err()
	}
	answer, err := callOwner(ctx, n, procReserve, query, func(a *reserveAnswer) ownership { return a.Ownership })
	if err != nil {
		return err
	}
	return answer.err()
}

// jobMemory returns the memory that all jobs may take; 0 if no instance knows its machine's.
func (n *Node) jobMemory() budget.Bytes {
	least := n.elector.Self.Memory
	for _, peer := range n.elector.Peers() {
		if least == 0 || peer.Memory > 0 && peer.Memory < least {
			least = peer.Memory
		}
	}
	return least / jobMemoryShare
}
