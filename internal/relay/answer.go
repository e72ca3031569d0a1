package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"peridotgw.example/peridotgw/reply"
)

// buffers holds memory of answers for the next ones; an answer of up to keepBytes is kept.
//
//nolint:gochecknoglobals // A pool has no state that a caller can observe.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const keepBytes = 1 << 20

func takeBuffer(size int) *[]byte {
	buffer, ok := buffers.Get().(*[]byte)
	if !ok || cap(*buffer) < size {
		fresh := make([]byte, size)
		return &fresh
	}
	*buffer = (*buffer)[:size]
	return buffer
}

// Free gives the memory of the answer back; its body must not be used afterwards.
func (a *Answer) Free() {
	if a == nil || a.buffer == nil {
		return
	}
	if cap(*a.buffer) <= keepBytes {
		buffers.Put(a.buffer)
	}
	a.buffer, a.Body = nil, nil
}

// newBody returns a reader that the transport can rewind when it has to choose another connection.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}

// VerifyAnswer checks that an answer belongs to the request and attempt, and that its body is what the endpoint sent.
// Answers without a body need no digest.
func VerifyAnswer(request *Request, attempt int, header http.Header, body []byte) error {
	if echo := header.Get(reply.HeaderRequestID); echo != string(request.ID) {
		return &MismatchError{Reason: reply.ReasonAnswerCrossed, Detail: "the answer is for request " + strconv.Quote(echo)}
	}
	if echo := header.Get(reply.HeaderAttempt); echo != "" && echo != strconv.Itoa(attempt) {
		return &MismatchError{Reason: reply.ReasonAnswerCrossed, Detail: "the answer is for attempt " + strconv.Quote(echo)}
	}
	digest := header.Get(reply.HeaderDigest)
	if digest == "" && len(body) == 0 {
		return nil
	}
	want, err := strconv.ParseUint(digest, 16, 64)
	if err != nil || want != xxhash.Sum64(body) {
		return &MismatchError{Reason: reply.ReasonAnswerIncomplete, Detail: "the digest does not match the answer"}
	}
	return nil
}
