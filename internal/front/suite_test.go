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
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

var suiteT *testing.T

// inVirtualTime runs the body of a spec in virtual time.
func inVirtualTime(spec func()) {
	synctest.Test(suiteT, func(*testing.T) {
		defer GinkgoRecover()
		spec()
	})
}

// gateway is one instance with its endpoints.
type gateway struct {
	server    *front.Server
	table     *route.Table
	endpoints []*fakeep.Server
	addresses []string
	url       string
	client    *http.Client
	stopFuncs []func()
}

func testConfig() *model.Set {
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

// newGateway starts an instance with endpoints: on loopback, or on the in-memory network if that is not nil.
func newGateway(endpoints int, network *fakeep.Network, name string) *gateway {
	gw := &gateway{url: "http://" + name}
	set, metrics := testConfig(), metric.New()
	gw.table = &route.Table{Current: func() *model.Set { return set }, Self: "a", DataCentre: "library", SkipProbe: true, Metrics: metrics}
	requestRelay := &relay.Relay{Table: gw.table, Metrics: metrics}
	gw.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 30 * time.Second}
	if network != nil {
		requestRelay.Dial = network.Dial
		gw.client.Transport = &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 16}
	}
	var vms []vmlist.VM
	for i := range endpoints {
		endpoint := fakeep.New(8)
		gw.endpoints = append(gw.endpoints, endpoint)
		gw.addresses = append(gw.addresses, gw.serveEndpoint(network, fmt.Sprintf("%s-ep-%d:80", name, i), endpoint))
		vms = append(vms, vmlist.VM{
			Name: fmt.Sprintf("ep-%d", i), Kind: vmlist.KindEndpoint, Address: gw.addresses[i], DataCentre: "library", Slots: 8, Incarnation: "1",
		})
	}
	gw.table.Update(vms)
	requestQueue := &queue.Queue{Acquire: gw.table.Acquire, Slots: gw.table.Slots, UsableEndpoints: gw.table.UsableEndpoints, Metrics: metrics}
	gw.table.OnSlotFree = requestQueue.StartQueued
	gw.server = &front.Server{Instance: "a", Metrics: metrics, Current: gw.table.Current, Queue: requestQueue, Relay: requestRelay}
	if network == nil {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		gw.server.Listener, gw.url = listener, "http://"+listener.Addr().String()
	} else {
		gw.server.Listener = network.Listen(name + ":80")
	}
	gw.runInBackground(gw.server.Run)
	gw.runInBackground(requestRelay.Run)
	return gw
}

func (gw *gateway) serveEndpoint(network *fakeep.Network, name string, endpoint *fakeep.Server) string {
	if network != nil {
		gw.stopFuncs = append(gw.stopFuncs, network.Serve(name, endpoint))
		return name
	}
	listener := httptest.NewServer(endpoint)
	gw.stopFuncs = append(gw.stopFuncs, listener.Close)
	return listener.Listener.Addr().String()
}

func (gw *gateway) runInBackground(service func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- service(ctx) }()
	gw.stopFuncs = append(gw.stopFuncs, func() {
		cancel()
		if err := <-ended; err != nil {
			panic(err)
		}
	})
}

func (gw *gateway) close() {
	gw.client.CloseIdleConnections()
	for i := len(gw.stopFuncs) - 1; i >= 0; i-- {
		gw.stopFuncs[i]()
	}
}

func (gw *gateway) request(class, id, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, gw.url+"/v1/requests/"+class, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set(reply.HeaderCustomer, "hollow-creek")
	request.Header.Set(reply.HeaderRequestID, id)
	return request
}

// answer is a response as the caller receives it; err is set unless the outcome is done.
type answer struct {
	status int
	header http.Header
	body   string
	err    reply.Error
}

func (gw *gateway) send(request *http.Request) (answer, error) {
	got, err := gw.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	parsed := answer{status: got.StatusCode, header: got.Header, body: string(body)}
	if got.Header.Get(reply.HeaderOutcome) != "done" && json.Valid(body) {
		err = errors.Join(err, json.Unmarshal(body, &parsed.err))
	}
	return parsed, err
}

// mustSend sends a request that must get a response.
func (gw *gateway) mustSend(request *http.Request) answer {
	got, err := gw.send(request)
	Expect(err).NotTo(HaveOccurred())
	return got
}
