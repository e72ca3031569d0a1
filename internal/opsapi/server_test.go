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

const first = `{"change-id":"first","put":[
	{"kind":"data-centre","name":"library","spec":{"service":"in","racks":[{"name":"r1","workers":6,"accelerators-per-worker":8}]}},
	{"kind":"customer","name":"board","spec":{}}]}`

// site is instance "a" with its API, and instance "b" that reports the revision that the spec sets.
type site struct {
	ctx     context.Context
	kv      *fakekv.Server
	store   *store.Client
	server  *opsapi.Server
	handler http.Handler
	other   atomic.Uint64
	leaving []model.EndpointID
}

func newSite(ctx context.Context) *site {
	s := &site{ctx: ctx, kv: fakekv.New()}
	network := memnet.New()
	network.Latency = time.Millisecond
	network.Serve("kv", s.kv)
	s.store = &store.Client{BaseURL: "http://kv", Timeout: store.DefaultTimeout, Do: network.Transport("a").RoundTrip}
	tables := map[string]*member.Table{}
	for _, id := range []string{"a", "b"} {
		t := &member.Table{
			Store: s.store, Caller: &wire.Caller{HTTP: network.Client(memnet.Host(id))},
			Self: member.Member{Instance: model.InstanceID(id), Incarnation: "one", PeerAddress: id},
			Keep: func(key string, value func() []byte) {
				_, err := s.store.Put(ctx, key, value(), 0, 0)
				Expect(err).NotTo(HaveOccurred())
			},
		}
		mux := http.NewServeMux()
		t.Register(mux)
		network.Serve(memnet.Host(id), mux)
		tables[id] = t
	}
	tables["b"].Local = func() member.Report {
		return member.Report{Revision: model.Revision(s.other.Load()), Summaries: []member.Summary{{DataCentre: "library", Owner: "b", Free: 48}}}
	}
	follower := &config.Follower{Store: s.store, Proof: func() (store.Revision, time.Time) { return 1, time.Now() }, Members: tables["a"]}
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
func (s *site) call(method, path, body string, into any) int {
	recorder := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(s.ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	s.handler.ServeHTTP(recorder, req)
	Expect(recorder.Header().Get("Content-Type")).To(Equal("application/json"))
	Expect(json.Unmarshal(recorder.Body.Bytes(), into)).To(Succeed(), recorder.Body.String())
	return recorder.Code
}

// service is the answer of out and in.
type service struct {
	Revision, Already any
	Complete          bool
	InEffect          []string `json:"in-effect"`
	Left, Missing     []string
}

// oneConn is a listener with one connection.
type oneConn struct {
	net.Listener
	conns chan net.Conn
	conn  net.Conn
}

func (l *oneConn) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.conns
	return nil, net.ErrClosed
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

func (l *oneConn) Close() error {
	close(l.conns)
	return nil
}

var _ = Describe("Server", func() {
	It("lets nobody in without a known token, so that only operators change the configuration", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
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

	It("refuses what it does not understand with a JSON error and counts it, so that a misspelt change is not half applied", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
			for _, try := range []struct {
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
				before := testutil.ToFloat64(s.server.Metrics.Refusals.WithLabelValues(string(try.want), "operator"))
				var refused reply.Error
				status := s.call(try.method, try.path, try.body, &refused)
				Expect(refused.Reason).To(Equal(try.want), try.path+" "+refused.Message)
				Expect(status).To(Equal(refused.Status()))
				after := testutil.ToFloat64(s.server.Metrics.Refusals.WithLabelValues(string(try.want), "operator"))
				Expect(after-before).To(BeEquivalentTo(1), try.path)
			}
		})
	})

	It("publishes, looks up and reviews changes and reports members, levels and owners", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
			var result config.Result
			Expect(s.call("POST", "/v1/changes", first, &result)).To(Equal(http.StatusOK))
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
			var done map[string]string
			Expect(s.call("POST", "/v1/endpoints/e1/leaving", "", &done)).To(Equal(http.StatusAccepted))
			Expect(s.leaving).To(Equal([]model.EndpointID{"e1"}))
		})
	})

	It("waits until each member has a data centre's new state or left, and names those that have not", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
			var done service
			s.call("POST", "/v1/changes", first, &done)
			started := time.Now()
			Expect(s.call("POST", "/v1/data-centres/library/out", `{"wait":"5s"}`, &done)).To(Equal(http.StatusAccepted))
			Expect(done.Missing).To(Equal([]string{"b"}))
			Expect(done.InEffect).To(Equal([]string{"a"}))
			Expect(time.Since(started)).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond))

			time.AfterFunc(2*time.Second, func() { s.other.Store(2) })
			Expect(s.call("POST", "/v1/data-centres/library/out", ``, &done)).To(Equal(http.StatusOK))
			Expect(done.Already).To(BeTrue())
			Expect(done.Complete).To(BeTrue())

			time.AfterFunc(2*time.Second, func() { _ = s.store.Delete(ctx, member.Prefix+"b", 1) })
			done = service{}
			Expect(s.call("POST", "/v1/data-centres/library/in", `{"change-id":"back"}`, &done)).To(Equal(http.StatusOK))
			Expect(done.Left).To(Equal([]string{"b"}))

			done = service{}
			Expect(s.call("POST", "/v1/data-centres/library/in", `{"change-id":"back"}`, &done)).To(Equal(http.StatusOK))
			Expect(done.Already).To(BeTrue())
			var refused reply.Error
			Expect(s.call("POST", "/v1/data-centres/library/out", `{"change-id":"back"}`, &refused)).To(Equal(http.StatusConflict))
			Expect(refused.Reason).To(Equal(reply.ReasonIDReused))
		})
	})

	It("bounds the reading of a body but not the wait for members by it, over a server", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
			var done service
			s.call("POST", "/v1/changes", first, &done)
			s.server.Timeout = time.Second
			ours, theirs := net.Pipe()
			server := &http.Server{Handler: s.server.Handler(), ReadHeaderTimeout: time.Second}
			go func() { _ = server.Serve(&oneConn{conns: make(chan net.Conn, 1), conn: theirs}) }()
			defer server.Close()
			reader := bufio.NewReader(ours)
			ask := func(body string, length int) (*http.Response, string) {
				_, err := fmt.Fprintf(ours, "POST /v1/data-centres/library/out HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"+
					"Content-Length: %d\r\n\r\n%s", length, body)
				Expect(err).NotTo(HaveOccurred())
				res, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				text, err := io.ReadAll(res.Body)
				Expect(err).NotTo(HaveOccurred())
				return res, string(text)
			}
			body := `{"wait":"5s"}`
			res, text := ask(body, len(body))
			Expect(res.StatusCode).To(Equal(http.StatusAccepted), text)
			Expect(text).To(ContainSubstring(`"missing":["b"]`))
			started := time.Now()
			res, text = ask(body, 2*len(body))
			Expect(res.StatusCode).To(Equal(http.StatusBadRequest), text)
			Expect(time.Since(started)).To(BeNumerically("<=", 2*time.Second))
		})
	})

	It("answers as an outage of the store demands, without saying that a change was refused when it may have been applied", func() {
		virtual(func(ctx context.Context) {
			s := newSite(ctx)
			s.kv.Set(fakekv.Faults{Down: true})
			var refused reply.Error
			Expect(s.call("POST", "/v1/changes", first, &refused)).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.Reason).To(Equal(reply.ReasonStoreUnavailable))
			Expect(refused.Outcome).To(Equal(reply.OutcomeRefused))
		})
	})
})
