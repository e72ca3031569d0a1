package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
)

// BenchmarkSend measures a send over loopback TCP, and a send in memory, which leaves out the transport.
func BenchmarkSend(b *testing.B) {
	endpoint := fakeep.New(8)
	server := httptest.NewServer(endpoint)
	defer server.Close()
	table := &route.Table{Self: "a", DataCentre: "library", SkipProbe: true}
	table.Update([]vmlist.VM{{Name: "ep", Kind: vmlist.KindEndpoint, Address: server.Listener.Addr().String(), DataCentre: "library", Slots: 8}})
	body := "answer"
	header := http.Header{"Peridot-Request-Id": {"r"}, "Peridot-Digest": {"c90b2ba1b8a8db64"}}
	loopback := &relay.Relay{Table: table}
	memory := &relay.Relay{Table: table, Do: func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: int64(len(body)), Body: io.NopCloser(&textReader{text: body})}, nil
	}}
	memory.Verify = func(*relay.Request, int, http.Header, []byte) error { return nil }
	for name, r := range map[string]*relay.Relay{"loopback": loopback, "memory": memory} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request := &relay.Request{ID: "r", Class: "check", Idempotent: true, Deadline: time.Now().Add(time.Second)}
				result := r.Send(context.Background(), request, table.Acquire(route.SlotRequest{}))
				if result.Err != nil {
					b.Fatal(result.Err)
				}
				result.Answer.Release()
			}
		})
	}
}

// textReader is the body of an answer in memory.
type textReader struct{ text string }

func (r *textReader) Read(into []byte) (int, error) {
	n := copy(into, r.text)
	r.text = r.text[n:]
	return n, nil
}
