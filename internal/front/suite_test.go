package front_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/fakeep"
	"peridotgw.example/peridotgw/internal/front"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/queue"
	"peridotgw.example/peridotgw/internal/relay"
	"peridotgw.example/peridotgw/internal/route"
	"peridotgw.example/peridotgw/internal/vmlist"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

// path is one instance with endpoints on loopback.
type path struct {
	server    *front.Server
	table     *route.Table
	endpoints []*fakeep.Server
	addresses []string
	url       string
	stop      func()
}

func newPath(tb testing.TB, endpoints int) *path {
	p := &path{}
	set := model.NewSet()
	set.Revision = 1
	set.Customers["hollow-creek"] = model.Customer{}
	set.Customers["other"] = model.Customer{}
	set.DataCentres["library"] = model.DataCentre{Service: model.ServiceIn}
	set.RequestClasses["check"] = model.RequestClass{Priority: model.PriorityUrgent, Idempotent: true, Hedge: true, Timeout: model.Duration(5 * time.Second)}
	set.RequestClasses["tally"] = model.RequestClass{
		Priority: model.PriorityNormal, Timeout: model.Duration(5 * time.Second), Customers: []model.CustomerID{"hollow-creek"},
	}
	metrics := metric.New()
	p.table = &route.Table{Current: func() *model.Set { return set }, Self: "a", DataCentre: "library", Trust: true, Metrics: metrics}
	vms := make([]vmlist.VM, 0, endpoints)
	for i := range endpoints {
		endpoint := fakeep.New(8)
		listener := httptest.NewServer(endpoint)
		tb.Cleanup(listener.Close)
		p.endpoints = append(p.endpoints, endpoint)
		p.addresses = append(p.addresses, listener.Listener.Addr().String())
		vms = append(vms, vmlist.VM{
			Name: fmt.Sprintf("ep-%d", i), Kind: vmlist.KindEndpoint, Address: listener.Listener.Addr().String(),
			DataCentre: "library", Slots: 8, State: vmlist.StateLive, Incarnation: "1",
		})
	}
	p.table.Update(vms)
	q := &queue.Queue{Acquire: p.table.Acquire, Slots: p.table.Slots, Usable: p.table.Usable, Metrics: metrics}
	p.table.OnFree = q.Kick
	p.server = &front.Server{
		Instance: "a", Metrics: metrics, Current: p.table.Current, Queue: q,
		Relay: &relay.Relay{Table: p.table, Metrics: metrics}, Linger: 200 * time.Millisecond,
	}
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p.server.Listener = listener
	p.url = "http://" + listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.server.Run(ctx) }()
	p.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	}
	tb.Cleanup(p.stop)
	return p
}

func (p *path) request(class, id, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, p.url+"/v1/requests/"+class, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set(reply.HeaderCustomer, "hollow-creek")
	request.Header.Set(reply.HeaderRequestID, id)
	return request
}
