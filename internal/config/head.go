package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"peridotgw.example/peridotgw/model"
)

// Keys in the store.
const (
	headKey       = "/config/head"
	segmentPrefix = "/config/segment/"
	changePrefix  = "/config/change/"
	historyPrefix = "/config/history/"
	oldestKey     = "/config/oldest"
)

// head is the value of the head key and of each history key.
type head struct {
	Revision model.Revision `json:"revision"`
	ChangeID model.ChangeID `json:"change-id"`
	// Digest identifies the content of the change, which distinguishes a reused id from a repeated change.
	Digest   string                `json:"digest"`
	Operator string                `json:"by,omitempty"`
	At       time.Time             `json:"at"`
	Segments map[model.Kind]string `json:"segments"`
	Changed  []model.Ref           `json:"changed,omitempty"`
}

// segment holds all objects of one kind. The revision and the change id make its hash unique, so a replaced segment is never
// used again and can be removed with the last revision that uses it.
type segment struct {
	Revision model.Revision `json:"revision"`
	ChangeID model.ChangeID `json:"change-id"`
	Objects  []model.Object `json:"objects"`
}

// changeRecord is the durable intent of a change. The change takes effect at Target or, after the record has been rewritten,
// at a later revision.
type changeRecord struct {
	ChangeID model.ChangeID `json:"change-id"`
	Target   model.Revision `json:"target"`
	Digest   string         `json:"digest"`
	Operator string         `json:"by,omitempty"`
	At       time.Time      `json:"at"`
	// Segments holds the hashes of all segments written for this change, whatever the target.
	Segments []string `json:"segments,omitempty"`
}

// SegmentHashError reports a segment whose content does not match its name.
type SegmentHashError struct {
	Want, Got string
}

// Error returns a message with both hashes.
func (e *SegmentHashError) Error() string {
	return fmt.Sprintf("segment %s has content with hash %s", e.Want, e.Got)
}

// MissingSegmentError reports that a segment of a head is not in the store.
type MissingSegmentError struct {
	Revision model.Revision
	Hash     string
}

// Error returns a message with the revision and the hash of the segment.
func (e *MissingSegmentError) Error() string {
	return fmt.Sprintf("segment %s of revision %d is missing", e.Hash, e.Revision)
}

var errNoRevision = errors.New("head has revision 0")

func historyKey(revision model.Revision) string {
	return historyPrefix + strconv.FormatUint(uint64(revision), 10)
}

func changeKey(id model.ChangeID) string { return changePrefix + string(id) }

func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return head{}, eris.Wrap(err, "decoding head")
	}
	if h.Revision == 0 {
		return head{}, errNoRevision
	}
	return h, nil
}

// hashes returns the segment hashes of a head in the order of model.Kinds.
func (h head) hashes() []string {
	var hashes []string
	for _, kind := range model.Kinds() {
		if hash, found := h.Segments[kind]; found {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// assembleSet decodes the segments of a head into its set. It returns a MissingSegmentError or a SegmentHashError for unusable ones.
func assembleSet(h head, segments map[string][]byte) (*model.Set, error) {
	var objects []model.Object
	for _, hash := range h.hashes() {
		data, found := segments[hash]
		if !found {
			return nil, &MissingSegmentError{Revision: h.Revision, Hash: hash}
		}
		if got := contentHash(data); got != hash {
			return nil, &SegmentHashError{Want: hash, Got: got}
		}
		var s segment
		if err := json.Unmarshal(data, &s); err != nil {
			return nil, eris.Wrapf(err, "decoding segment %s", hash)
		}
		objects = append(objects, s.Objects...)
	}
	set, err := model.FromObjects(objects)
	if err != nil {
		return nil, eris.Wrapf(err, "assembling revision %d", h.Revision)
	}
	set.Revision, set.ChangeID = h.Revision, h.ChangeID
	return set, nil
}

// encodeSegments encodes the objects of a set into segments, one per kind. It returns the hash of each kind's segment and the
// new segments by hash; a kind without changes keeps the segment of the previous head.
func encodeSegments(set *model.Set, previous head, changed map[model.Kind]bool) (map[model.Kind]string, map[string][]byte, error) {
	objects, err := set.Objects()
	if err != nil {
		return nil, nil, eris.Wrap(err, "encoding objects")
	}
	byKind := map[model.Kind][]model.Object{}
	for _, object := range objects {
		byKind[object.Kind] = append(byKind[object.Kind], object)
	}
	hashes, newSegments := map[model.Kind]string{}, map[string][]byte{}
	for kind, part := range byKind {
		if hash, found := previous.Segments[kind]; found && !changed[kind] {
			hashes[kind] = hash
			continue
		}
		data, err := json.Marshal(segment{Revision: set.Revision, ChangeID: set.ChangeID, Objects: part})
		if err != nil {
			return nil, nil, eris.Wrapf(err, "encoding segment of kind %s", kind)
		}
		hash := contentHash(data)
		hashes[kind], newSegments[hash] = hash, data
	}
	return hashes, newSegments, nil
}
