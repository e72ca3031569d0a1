package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"peridotgw.example/peridotgw/platform/fakepl"
)

// The crowd. Its size and its bodies were fixed before any limit was built.
const (
	crowdClients = 500
	bodyBytes    = 262_144 // the largest body of a job
	missingBytes = 16      // that each client holds back
	// singleBytes is the length of bodies in chunks of one byte each, which take six times as many bytes on the wire.
	singleBytes = 128 << 10
	pieceBytes  = 4 << 10
	chunkBytes  = 64 << 10

	crowdDialTimeout = 5 * time.Second
	retryPause       = time.Second // after a client was refused or its connection was closed
	piecePause       = time.Millisecond
)

// crowdJob is the id of the crowd's jobs in the heads of its requests; each request gets its own.
const crowdJob = "ffffffffffffffff"

// kind is a way to send a request.
type kind string

const (
	kindWhole  kind = "whole"           // one write with a content length
	kindPieces kind = "in pieces"       // many writes with a content length
	kindChunks kind = "in chunks"       // chunks of chunkBytes
	kindSingle kind = "in single bytes" // chunks of one byte
	// kindComplete is an ordinary job in one write, and nothing is held back.
	kindComplete kind = "complete"
)

// crowd is many clients, each of which sends a request, without its end for all kinds but kindComplete, leaves the connection open, and
// starts again when it is closed.
type crowd struct {
	address string
	head    string // request line and headers without the length
	kind    kind

	requests atomic.Int64
	sentOnce atomic.Int32 // clients that have sent all they send, or were cut off
	standing atomic.Int32 // connections on which all but the end is sent
	closed   atomic.Int32 // connections that the instance closed
	group    sync.WaitGroup
}

// run starts the clients; they leave when ctx ends.
func (c *crowd) run(ctx context.Context) {
	for range crowdClients {
		c.group.Go(func() {
			for first := true; ctx.Err() == nil; first = false {
				c.sendOnce(ctx, first)
				select {
				case <-time.After(retryPause):
				case <-ctx.Done():
				}
			}
		})
	}
}

// sendOnce sends one request without its end and waits until its connection is closed or ctx ends.
func (c *crowd) sendOnce(ctx context.Context, first bool) {
	reached := sync.OnceFunc(func() {
		if first {
			c.sentOnce.Add(1)
		}
	})
	defer reached()
	dialer := net.Dialer{Timeout: crowdDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	// A reset leaves no port in TIME_WAIT.
	_ = conn.(*net.TCPConn).SetLinger(0)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	if c.write(conn) == nil {
		c.standing.Add(1)
		defer c.standing.Add(-1)
	}
	reached()
	_, _ = io.Copy(io.Discard, conn)
	if ctx.Err() == nil {
		c.closed.Add(1)
	}
}

func (c *crowd) write(conn net.Conn) error {
	body := bytes.Repeat([]byte(" "), bodyBytes-missingBytes)
	start := strings.Replace(c.head, crowdJob, fmt.Sprintf("f%015x", c.requests.Add(1)), 1)
	head := start + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n"
	switch c.kind {
	case kindComplete:
		job := fakepl.Job(1, 0, false, 1000)
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", start, len(job), job)
		return err
	case kindWhole:
		_, err := conn.Write(append([]byte(head), body...))
		return err
	case kindPieces:
		return writePieces(conn, head, body)
	case kindChunks:
		return writeChunks(conn, chunked, body)
	case kindSingle:
		single := bytes.Repeat([]byte("1\r\n \r\n"), singleBytes)
		_, err := conn.Write(append([]byte(chunked), single...))
		return err
	}
	return nil
}

func writePieces(conn net.Conn, head string, body []byte) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), pieceBytes)
		if _, err := conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(piecePause)
	}
	return nil
}

func writeChunks(conn net.Conn, head string, body []byte) error {
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}
