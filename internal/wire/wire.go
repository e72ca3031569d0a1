package wire

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Procedure is the path of a remote procedure, such as "/peer/exchange".
type Procedure string

// MaxMessageBytes limits the size of a message that is read. Configuration snapshots are the largest messages.
const MaxMessageBytes = 16 << 20

// Handle registers fn as the handler of procedure on mux; fn is called concurrently.
func Handle[Req, Res any](mux *http.ServeMux, procedure Procedure, fn func(context.Context, *Req) (*Res, error)) {
	handler := connect.NewUnaryHandler(string(procedure),
		func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := fn(ctx, req.Msg)
			if err != nil {
				return nil, err
			}
			return connect.NewResponse(res), nil
		},
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
	)
	mux.Handle(string(procedure), handler)
}

// Caller holds the HTTP client for calls to other instances. It may be used concurrently.
type Caller struct {
	// HTTP sends the calls; tests replace it to reach handlers without a network.
	HTTP connect.HTTPClient
}

// NewCaller returns a caller with its own connection pool, and a function that closes the idle connections. timeout bounds each call.
func NewCaller(timeout time.Duration) (*Caller, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second, ResponseHeaderTimeout: timeout}
	return &Caller{HTTP: &http.Client{Transport: transport, Timeout: timeout}}, transport.CloseIdleConnections
}

// Call sends req to procedure at address ("host:port") and returns the response. Errors wrap those of connect.
func Call[Req, Res any](ctx context.Context, c *Caller, address string, procedure Procedure, req *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.HTTP, "http://"+address+string(procedure),
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(MaxMessageBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, eris.Wrapf(err, "calling %s at %s", procedure, address)
	}
	return res.Msg, nil
}
