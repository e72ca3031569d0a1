package claim

import (
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// state is the state of a claim in the store.
type state string

const (
	// stateClaimed means that the request may have been sent.
	stateClaimed state = "claimed"
	// stateDone means that the outcome is known.
	stateDone state = "done"
	// stateReleased means that nothing was sent and that the id may be used again. The entry is overwritten instead of deleted:
	// versions restart at 1 when a key is created again, so a late delete could remove the claim of the next holder.
	stateReleased state = "released"
)

// record is the stored value of a claim.
type record struct {
	State       state                `json:"state"`
	Class       model.RequestClassID `json:"class,omitempty"`
	Instance    model.InstanceID     `json:"instance,omitempty"`
	Incarnation model.Incarnation    `json:"incarnation,omitempty"`
	// Nonce is random and identifies one claim, also among those of the same process.
	Nonce string `json:"nonce,omitempty"`
	// Digest is the xxhash64 of the request's body in hex.
	Digest      string        `json:"digest,omitempty"`
	Outcome     reply.Outcome `json:"outcome,omitempty"`
	Reason      reply.Reason  `json:"reason,omitempty"`
	Status      int           `json:"status,omitempty"`
	ContentType string        `json:"content-type,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	BodyKept    bool          `json:"body-kept,omitempty"`
}

func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encoding claim")
	}
	return value, nil
}

// decodeRecord returns the record of an entry; a missing entry counts as released.
func decodeRecord(entry store.Entry) (record, error) {
	var r record
	if entry.Version == 0 {
		return record{State: stateReleased}, nil
	}
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return r, eris.Wrapf(err, "decoding claim %q", entry.Key)
	}
	return r, nil
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }
