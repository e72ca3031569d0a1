package wire_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/wire"
)

type ping struct {
	Text  string    `cbor:"1,keyasint"`
	Count int       `cbor:"2,keyasint,omitempty"`
	At    time.Time `cbor:"3,keyasint,omitzero"`
}

var _ = Describe("Call", func() {
	var address string

	BeforeEach(func() {
		mux := http.NewServeMux()
		wire.Handle(mux, "/test/ping", func(_ context.Context, req *ping) (*ping, error) {
			return &ping{Text: req.Text, Count: req.Count + 1, At: req.At}, nil
		})
		wire.Handle(mux, "/test/hang", func(ctx context.Context, _ *ping) (*ping, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	})

	// Guards against a message or an answer that loses fields in encoding.
	It("carries a message and its answer", func() {
		caller, closeIdle := wire.NewCaller(time.Second)
		defer closeIdle()
		res, err := wire.Call[ping, ping](context.Background(), caller, address, "/test/ping", &ping{Text: "a", Count: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(*res).To(Equal(ping{Text: "a", Count: 2}))
	})

	// Guards against times that lose their fraction of a second: a job that is due later would start early.
	It("carries times to the microsecond", func() {
		caller, closeIdle := wire.NewCaller(time.Second)
		defer closeIdle()
		at := time.Unix(1_800_000_000, 123_456_000)
		res, err := wire.Call[ping, ping](context.Background(), caller, address, "/test/ping", &ping{At: at})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.At).To(BeTemporally("~", at, time.Microsecond))
	})

	// Guards against a peer that hangs and blocks its caller beyond the timeout.
	It("ends a call to a peer that does not answer", func() {
		caller, closeIdle := wire.NewCaller(50 * time.Millisecond)
		defer closeIdle()
		_, err := wire.Call[ping, ping](context.Background(), caller, address, "/test/hang", &ping{})
		Expect(err).To(HaveOccurred())
	})
})
