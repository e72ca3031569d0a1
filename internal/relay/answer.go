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

// buffers recycles the buffers of answer bodies, those with a capacity of up to maxPooledBytes.
//
//nolint:gochecknoglobals // A pool has no state that a caller can observe.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBytes = 1 << 20

func getBuffer(size int) *[]byte {
	buffer, ok := buffers.Get().(*[]byte)
	if !ok || cap(*buffer) < size {
		fresh := make([]byte, size)
		return &fresh
	}
	*buffer = (*buffer)[:size]
	return buffer
}

// putBuffer returns a buffer to the pool, unless it is so large that it would hold memory for rare answers.
func putBuffer(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBytes {
		buffers.Put(buffer)
	}
}

// Release returns the answer's buffer to the pool; Body must not be used afterwards. It does nothing on a nil answer.
func (a *Answer) Release() {
	if a == nil || a.buffer == nil {
		return
	}
	putBuffer(a.buffer)
	a.buffer, a.Body = nil, nil
}

// newBody returns a reader that the transport can rewind when it retries on another connection.
func newBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}

// VerifyAnswer checks that an answer belongs to the request and attempt and that its body matches the endpoint's digest.
// An answer without a body needs no digest. The error is a *MismatchError.
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
