package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
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
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

var suite *testing.T

func virtual(spec func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// path is one instance with endpoints.
type path struct {
	server    *front.Server
	table     *route.Table
	endpoints []*fakeep.Server
	addresses []string
	url       string
	client    *http.Client
	stops     []func()
}

func configuration() *model.Set {
	set := model.NewSet()
	set.Revision = 1
	set.Customers["hollow-creek"], set.Customers["other"] = model.Customer{}, model.Customer{}
	set.DataCentres["library"] = model.DataCentre{Service: model.ServiceIn}
	set.RequestClasses["check"] = model.RequestClass{Priority: model.PriorityUrgent, Idempotent: true, Hedge: true, Timeout: model.Duration(5 * time.Second)}
	set.RequestClasses["tally"] = model.RequestClass{
		Priority: model.PriorityNormal, Timeout: model.Duration(5 * time.Second), Customers: []model.CustomerID{"hollow-creek"},
	}
	return set
}

// newPath starts an instance on loopback, or on a network of pipes when there is one.
func newPath(endpoints int, network *fakeep.Network, name string) *path {
	p := &path{url: "http://" + name}
	set, metrics := configuration(), metric.New()
	p.table = &route.Table{Current: func() *model.Set { return set }, Self: "a", DataCentre: "library", Trust: true, Metrics: metrics}
	r := &relay.Relay{Table: p.table, Metrics: metrics}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 30 * time.Second}
	if network != nil {
		r.Dial = network.Dial
		p.client.Transport = &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 16}
	}
	var vms []vmlist.VM
	for i := range endpoints {
		endpoint := fakeep.New(8)
		p.endpoints = append(p.endpoints, endpoint)
		p.addresses = append(p.addresses, p.serveEndpoint(network, fmt.Sprintf("%s-ep-%d:80", name, i), endpoint))
		vms = append(vms, vmlist.VM{
			Name: fmt.Sprintf("ep-%d", i), Kind: vmlist.KindEndpoint, Address: p.addresses[i], DataCentre: "library", Slots: 8, Incarnation: "1",
		})
	}
	p.table.Update(vms)
	q := &queue.Queue{Acquire: p.table.Acquire, Slots: p.table.Slots, Usable: p.table.Usable, Metrics: metrics}
	p.table.OnFree = q.Kick
	p.server = &front.Server{Instance: "a", Metrics: metrics, Current: p.table.Current, Queue: q, Relay: r}
	if network == nil {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		p.server.Listener, p.url = listener, "http://"+listener.Addr().String()
	} else {
		p.server.Listener = network.Listen(name + ":80")
	}
	p.run(p.server.Run)
	p.run(r.Run)
	return p
}

func (p *path) serveEndpoint(network *fakeep.Network, name string, endpoint *fakeep.Server) string {
	if network != nil {
		p.stops = append(p.stops, network.Serve(name, endpoint))
		return name
	}
	listener := httptest.NewServer(endpoint)
	p.stops = append(p.stops, listener.Close)
	return listener.Listener.Addr().String()
}

func (p *path) run(service func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- service(ctx) }()
	p.stops = append(p.stops, func() {
		cancel()
		if err := <-ended; err != nil {
			panic(err)
		}
	})
}

func (p *path) close() {
	p.client.CloseIdleConnections()
	for i := len(p.stops) - 1; i >= 0; i-- {
		p.stops[i]()
	}
}

func (p *path) request(class, id, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, p.url+"/v1/requests/"+class, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set(reply.HeaderCustomer, "hollow-creek")
	request.Header.Set(reply.HeaderRequestID, id)
	return request
}

// answer is a caller's view of an answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    reply.Error
}

func (p *path) do(request *http.Request) (answer, error) {
	got, err := p.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	a := answer{status: got.StatusCode, header: got.Header, body: string(body)}
	if got.Header.Get(reply.HeaderOutcome) != "done" && json.Valid(body) {
		err = errors.Join(err, json.Unmarshal(body, &a.err))
	}
	return a, err
}

func (p *path) must(request *http.Request) answer {
	got, err := p.do(request)
	Expect(err).NotTo(HaveOccurred())
	return got
}
