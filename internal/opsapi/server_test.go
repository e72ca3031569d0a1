package opsapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"peridotgw.example/peridotgw/internal/config"
	"peridotgw.example/peridotgw/internal/fakekv"
	"peridotgw.example/peridotgw/internal/member"
	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/metric"
	"peridotgw.example/peridotgw/internal/opsapi"
	"peridotgw.example/peridotgw/internal/store"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

const firstChange = `{"change-id":"first","put":[
	{"kind":"data-centre","name":"library","spec":{"service":"in","racks":[{"name":"r1","workers":6,"accelerators-per-worker":8}]}},
	{"kind":"customer","name":"board","spec":{}}]}`

// testCluster is instance "a" with its API, and instance "b", which reports the revision that the spec sets.
type testCluster struct {
	ctx     context.Context
	kv      *fakekv.Server
	store   *store.Client
	server  *opsapi.Server
	handler http.Handler
	// otherRevision is the revision that instance "b" reports.
	otherRevision atomic.Uint64
	leaving       []model.EndpointID
}

func newTestCluster(ctx context.Context) *testCluster {
	s := &testCluster{ctx: ctx, kv: fakekv.New()}
	network := memnet.New()
	network.Latency = time.Millisecond
	network.SetHandler("kv", s.kv)
	s.store = &store.Client{BaseURL: "http://kv", Timeout: store.DefaultTimeout, Do: network.Transport("a").RoundTrip}
	tables := map[string]*member.Table{}
	for _, id := range []string{"a", "b"} {
		t := &member.Table{
			Store: s.store, Caller: &wire.Caller{HTTP: network.Client(memnet.Host(id))},
			Self: member.Member{Instance: model.InstanceID(id), Incarnation: "one", PeerAddress: id},
			KeepKey: func(key string, value func() []byte) {
				_, err := s.store.Put(ctx, key, value(), 0, 0)
				Expect(err).NotTo(HaveOccurred())
			},
		}
		mux := http.NewServeMux()
		t.Register(mux)
		network.SetHandler(memnet.Host(id), mux)
		tables[id] = t
	}
	tables["b"].LocalReport = func() member.Report {
		return member.Report{Revision: model.Revision(s.otherRevision.Load()), Summaries: []member.LoadSummary{{DataCentre: "library", Owner: "b", Free: 48}}}
	}
	follower := &config.Follower{Store: s.store, LastRenewal: func() (store.Revision, time.Time) { return 1, time.Now() }, Members: tables["a"]}
	s.server = &opsapi.Server{
		Tokens: map[string]string{"secret": "olive"}, Metrics: metric.New(), Instance: "a", Members: tables["a"], Follower: follower,
		Publisher:  &config.Publisher{Store: s.store, Follower: follower},
		SetLeaving: func(ids []model.EndpointID) { s.leaving = append(s.leaving, ids...) },
		ListJobs:   func(context.Context) (any, error) { return []string{"j1"}, nil },
		Explain:    func(_ context.Context, kind, id string) (any, error) { return []string{kind, id}, nil },
	}
	s.handler = s.server.Handler()
	for _, run := range []func(context.Context) error{tables["a"].Run, tables["b"].Run, follower.Run} {
		go func() { _ = run(ctx) }()
	}
	time.Sleep(2 * time.Second)
	return s
}

// call sends a request with the right token and decodes the answer.
func (s *testCluster) call(method, path, body string, into any) int {
	recorder := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(s.ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	s.handler.ServeHTTP(recorder, req)
	Expect(recorder.Header().Get("Content-Type")).To(Equal("application/json"))
	Expect(json.Unmarshal(recorder.Body.Bytes(), into)).To(Succeed(), recorder.Body.String())
	return recorder.Code
}

// serviceAnswer is the answer to a change of a data centre's service state.
type serviceAnswer struct {
	Revision, Already any
	Complete          bool
	InEffect          []string `json:"in-effect"`
	Left, Missing     []string
}

// singleConnListener accepts one connection and then blocks until Close.
type singleConnListener struct {
	net.Listener
	conns chan net.Conn
	conn  net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.conns
	return nil, net.ErrClosed
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *singleConnListener) Close() error {
	close(l.conns)
	return nil
}

var _ = Describe("Server", func() {
	It("refuses requests without a known token, so that only operators change the configuration", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			for _, header := range []string{"", "Bearer", "Bearer ", "Bearer secre", "Bearer secret2", "Basic secret", "secret"} {
				for _, path := range []string{"/v1/status", "/v1/nothing"} {
					recorder := httptest.NewRecorder()
					req := httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)
					req.Header.Set("Authorization", header)
					s.handler.ServeHTTP(recorder, req)
					var refused reply.Error
					Expect(json.Unmarshal(recorder.Body.Bytes(), &refused)).To(Succeed())
					Expect(recorder.Code).To(Equal(http.StatusUnauthorized), header)
					Expect(refused.Reason).To(Equal(reply.ReasonUnauthorized), header)
				}
			}
			Expect(testutil.ToFloat64(s.server.Metrics.Refusals.WithLabelValues("unauthorized", "operator"))).To(BeEquivalentTo(14))
		})
	})

	It("refuses unknown fields, parameters and names with a JSON error and counts the refusal, so that a misspelt change is not partly applied", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			for _, tc := range []struct {
				method, path, body string
				want               reply.Reason
			}{
				{"POST", "/v1/changes", `{"change-id":"x","bas-revision":1}`, reply.ReasonMalformed},
				{"POST", "/v1/changes", `{"change-id":"x"} {}`, reply.ReasonMalformed},
				{"POST", "/v1/changes", ``, reply.ReasonMalformed},
				{"POST", "/v1/changes", `{"change-id":"x"}`, reply.ReasonMalformed},
				{"POST", "/v1/changes", `{"change-id":"x","put":[{"kind":"customer","name":"a","spec":{"wieght":1}}]}`, reply.ReasonInvalid},
				{"POST", "/v1/changes", `{"change-id":"` + strings.Repeat("x", opsapi.MaxBodyBytes) + `"}`, reply.ReasonTooLarge},
				{"GET", "/v1/changes/none", ``, reply.ReasonNotFound},
				{"GET", "/v1/objects?kinds=shape", ``, reply.ReasonMalformed},
				{"GET", "/v1/objects?kind=shapes", ``, reply.ReasonMalformed},
				{"GET", "/v1/objects?kind=shape&name=none", ``, reply.ReasonNotFound},
				{"GET", "/v1/objects?revision=9", ``, reply.ReasonNotFound},
				{"POST", "/v1/data-centres/none/out", ``, reply.ReasonNotFound},
				{"POST", "/v1/data-centres/none/out", `{"wait":"2m"}`, reply.ReasonMalformed},
				{"POST", "/v1/endpoints/Bad/leaving", ``, reply.ReasonMalformed},
				{"PUT", "/v1/status", ``, reply.ReasonNotFound},
				{"GET", "/v1/jobs/j1", ``, reply.ReasonNotFound},
			} {
				before := testutil.ToFloat64(s.server.Metrics.Refusals.WithLabelValues(string(tc.want), "operator"))
				var refused reply.Error
				status := s.call(tc.method, tc.path, tc.body, &refused)
				Expect(refused.Reason).To(Equal(tc.want), tc.path+" "+refused.Message)
				Expect(status).To(Equal(refused.Status()))
				after := testutil.ToFloat64(s.server.Metrics.Refusals.WithLabelValues(string(tc.want), "operator"))
				Expect(after-before).To(BeEquivalentTo(1), tc.path)
			}
		})
	})

	// Guards against a stale base revision that is accepted, and against records that an operator cannot read back.
	It("publishes, looks up and lists changes, and reports members, levels and owners", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			var result config.Result
			Expect(s.call("POST", "/v1/changes", firstChange, &result)).To(Equal(http.StatusOK))
			Expect(s.call("GET", "/v1/changes/first", "", &result)).To(Equal(http.StatusOK))
			Expect(result.Already).To(BeTrue())
			var refused reply.Error
			stale := `{"change-id":"second","base-revision":0,"put":[{"kind":"customer","name":"board","spec":{"weight":2}}]}`
			Expect(s.call("POST", "/v1/changes", stale, &refused)).To(Equal(http.StatusConflict))
			Expect(refused.Conflicts).To(ConsistOf(model.Ref{Kind: model.KindCustomer, Name: "board"}))
			time.Sleep(2 * time.Second)

			var objects struct {
				Revision model.Revision
				Objects  []model.Object
			}
			for _, path := range []string{"/v1/objects?kind=customer", "/v1/objects?kind=customer&name=board&revision=1"} {
				Expect(s.call("GET", path, "", &objects)).To(Equal(http.StatusOK))
				Expect(objects.Objects).To(HaveLen(1))
				Expect(objects.Objects[0].Revision).To(BeEquivalentTo(1))
			}
			type dataCentre struct {
				Name    string `json:"data-centre"`
				Owner   string
				Service string
			}
			var status struct {
				Level       config.Level
				Members     []struct{ Instance, Live any }
				DataCentres []dataCentre `json:"data-centres"`
			}
			Expect(s.call("GET", "/v1/status", "", &status)).To(Equal(http.StatusOK))
			Expect(status.Level).To(Equal(config.LevelConfirmed))
			Expect(status.Members).To(HaveLen(2))
			Expect(status.DataCentres).To(HaveExactElements(dataCentre{"library", "b", "in"}))
			var list []string
			Expect(s.call("GET", "/v1/explain/request/board/r1", "", &list)).To(Equal(http.StatusOK))
			Expect(list).To(Equal([]string{"request", "board/r1"}))
			var answer map[string]string
			Expect(s.call("POST", "/v1/endpoints/e1/leaving", "", &answer)).To(Equal(http.StatusAccepted))
			Expect(s.leaving).To(Equal([]model.EndpointID{"e1"}))
		})
	})

	// Guards against an operator who takes a data centre down while a member still starts tasks there.
	It("waits until each member has a data centre's new state or has left, and names the members that are missing", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			var answer serviceAnswer
			s.call("POST", "/v1/changes", firstChange, &answer)
			started := time.Now()
			Expect(s.call("POST", "/v1/data-centres/library/out", `{"wait":"5s"}`, &answer)).To(Equal(http.StatusAccepted))
			Expect(answer.Missing).To(Equal([]string{"b"}))
			Expect(answer.InEffect).To(Equal([]string{"a"}))
			Expect(time.Since(started)).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))

			time.AfterFunc(2*time.Second, func() { s.otherRevision.Store(2) })
			Expect(s.call("POST", "/v1/data-centres/library/out", ``, &answer)).To(Equal(http.StatusOK))
			Expect(answer.Already).To(BeTrue())
			Expect(answer.Complete).To(BeTrue())

			time.AfterFunc(2*time.Second, func() { _ = s.store.Delete(ctx, member.Prefix+"b", 1) })
			answer = serviceAnswer{}
			Expect(s.call("POST", "/v1/data-centres/library/in", `{"change-id":"back"}`, &answer)).To(Equal(http.StatusOK))
			Expect(answer.Left).To(Equal([]string{"b"}))

			answer = serviceAnswer{}
			Expect(s.call("POST", "/v1/data-centres/library/in", `{"change-id":"back"}`, &answer)).To(Equal(http.StatusOK))
			Expect(answer.Already).To(BeTrue())
			var refused reply.Error
			Expect(s.call("POST", "/v1/data-centres/library/out", `{"change-id":"back"}`, &refused)).To(Equal(http.StatusConflict))
			Expect(refused.Reason).To(Equal(reply.ReasonIDReused))
		})
	})

	// Guards against slow bodies that hold a connection, and against a read deadline that ends a wait for members.
	It("bounds the reading of a body over a connection, and does not apply that bound to the wait for members", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			var answer serviceAnswer
			s.call("POST", "/v1/changes", firstChange, &answer)
			s.server.Timeout = time.Second
			clientConn, serverConn := net.Pipe()
			server := &http.Server{Handler: s.server.Handler(), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(&singleConnListener{conns: make(chan net.Conn, 1), conn: serverConn}) }()
			defer server.Close()
			reader := bufio.NewReader(clientConn)
			sendRequest := func(body string, length int) (*http.Response, string) {
				_, err := fmt.Fprintf(clientConn, "POST /v1/data-centres/library/out HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"+
					"Content-Length: %d\r\n\r\n%s", length, body)
				Expect(err).NotTo(HaveOccurred())
				res, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				text, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				return res, string(text)
			}
			body := `{"wait":"5s"}`
			res, text := sendRequest(body, len(body))
			Expect(res.StatusCode).To(Equal(http.StatusAccepted), text)
			Expect(text).To(ContainSubstring(`"missing":["b"]`))
			started := time.Now()
			res, text = sendRequest(body, 2*len(body))
			Expect(res.StatusCode).To(Equal(http.StatusBadRequest), text)
			Expect(time.Since(started)).To(BeNumerically("<=", 2*time.Second))
		})
	})

	// Guards against an answer that calls a change refused although it may have been applied.
	It("refuses a change with store-unavailable while the store is down", func() {
		inVirtualTime(func(ctx context.Context) {
			s := newTestCluster(ctx)
			s.kv.Set(fakekv.Faults{Down: true})
			var refused reply.Error
			Expect(s.call("POST", "/v1/changes", firstChange, &refused)).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.Reason).To(Equal(reply.ReasonStoreUnavailable))
			Expect(refused.Outcome).To(Equal(reply.OutcomeRefused))
		})
	})
})
