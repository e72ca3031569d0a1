package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/serve"
)

// Guards against a planned stop that ends with an error since a client had not sent the rest of its request, or did not read the answer.
func TestCutRequestsAreNoFailure(t *testing.T) {
	g := NewWithT(t)
	listener, err := serve.Listen(t.Context(), "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	reached, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server := &serve.Server{Name: "callers", Listener: listener, Log: zerolog.Nop(), HTTP: &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(reached)
			<-release
		}),
	}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- runServer(ctx, server) }()
	conn, err := net.Dial("tcp", listener.Addr().String()) //nolint:noctx // The server listens.
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(conn.Close()).To(Succeed()) }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	<-reached
	stop()
	var cut *serve.CutError
	err = <-ended
	g.Expect(errors.As(err, &cut)).To(BeFalse())
	g.Expect(err).NotTo(HaveOccurred())
}
