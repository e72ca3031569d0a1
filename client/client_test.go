package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

// instance is one server with a scripted answer; it counts the calls that reached it.
type instance struct {
	*httptest.Server
	calls int
}

func serve(handler http.HandlerFunc) *instance {
	i := &instance{}
	i.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.calls++
		handler(w, r)
	}))
	DeferCleanup(i.Close)
	return i
}

func done(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(reply.HeaderOutcome, "done")
	w.Header().Set(reply.HeaderRequestID, r.Header.Get(reply.HeaderRequestID))
	w.Header().Set(reply.HeaderAttempts, "2")
	fmt.Fprint(w, "score 7")
}

func refuse(reason reply.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		Expect(reply.Refused(reason, "no").Write(w)).To(Succeed())
	}
}

// cut reads the request and breaks the connection without an answer.
func cut(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// reset breaks the connection in a way that shows as a network error and not as its end.
func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	connection, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.(*net.TCPConn).SetLinger(0)).To(Succeed())
	Expect(connection.Close()).To(Succeed())
}

func cutBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	done(w, r)
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func crossed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(reply.HeaderOutcome, "done")
	w.Header().Set(reply.HeaderRequestID, "another")
}

func plain(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "balancer", status) }
}

func answerJSON(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { Expect(json.NewEncoder(w).Encode(value)).To(Succeed()) }
}

// closed returns the address of a server that no longer listens.
func closed() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

func outcome(err error) string {
	var replied *reply.Error
	var unreachable *client.UnreachableError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &replied):
		return fmt.Sprintf("%s: %s", replied.Outcome, replied.Reason)
	case errors.As(err, &unreachable):
		return "unreachable"
	}
	return err.Error()
}

func addresses(instances ...*instance) []string {
	var urls []string
	for _, i := range instances {
		urls = append(urls, i.URL)
	}
	return urls
}

var _ = Describe("caller", func() {
	do := func(urls ...string) error {
		caller, closeIdle := client.NewCaller(urls, "parks")
		defer closeIdle()
		_, err := caller.Do(context.Background(), client.Request{Class: "check", ID: "r-1", Timeout: 5 * time.Second, Body: []byte("x")})
		return err
	}

	It("returns the whole answer and sends id, customer and deadline", func() {
		var got http.Header
		server := serve(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header
			done(w, r)
		})
		caller, closeIdle := client.NewCaller([]string{server.URL}, "parks")
		defer closeIdle()
		answer, err := caller.Do(context.Background(), client.Request{Class: "check", ID: "r-1", Timeout: 1500 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("score 7"))
		Expect(answer.Attempts).To(Equal(2))
		left, err := strconv.Atoi(got.Get(reply.HeaderTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 1500)))
		Expect(got.Get(reply.HeaderCustomer)).To(Equal("parks"))
	})

	// Guards against a lost answer that is reported as "not run" (promise P5), and against answers of others (P4).
	DescribeTable("outcome of one address", func(handler http.HandlerFunc, want string) {
		Expect(outcome(do(serve(handler).URL))).To(Equal(want))
	},
		Entry("cut before the answer", http.HandlerFunc(cut), "unknown: answer-lost"),
		Entry("reset before the answer", http.HandlerFunc(reset), "unknown: answer-lost"),
		Entry("cut inside the answer", http.HandlerFunc(cutBody), "unknown: answer-incomplete"),
		Entry("answer to another request", http.HandlerFunc(crossed), "unknown: answer-crossed"),
		Entry("error page of a balancer", plain(http.StatusBadGateway), "unknown: answer-lost"),
		Entry("success without an outcome", answerJSON("x"), "unknown: answer-crossed"),
		Entry("redirect", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}), "unknown: answer-lost"),
		Entry("refusal", refuse(reply.ReasonQueueFull), "refused: queue-full"),
	)

	DescribeTable("outcome of two addresses", func(first, second http.HandlerFunc, want string, secondCalls int) {
		a, b := serve(first), serve(second)
		Expect(outcome(do(addresses(a, b)...))).To(Equal(want))
		Expect(b.calls).To(Equal(secondCalls))
	},
		Entry("a lost answer is asked for again with the same id", http.HandlerFunc(cut), http.HandlerFunc(done), "done", 1),
		Entry("a refused repeat does not prove that the first send did not run",
			http.HandlerFunc(cut), refuse(reply.ReasonConfigStale), "unknown: answer-lost", 1),
		Entry("nor does a repeat that the instance has no room for",
			http.HandlerFunc(cut), refuse(reply.ReasonQueueFull), "unknown: answer-lost", 1),
		Entry("a draining instance is left for the next", refuse(reply.ReasonDraining), http.HandlerFunc(done), "done", 1),
		Entry("overload is not spread to the next instance", refuse(reply.ReasonOverload), http.HandlerFunc(done), "refused: overload", 0),
		Entry("an outcome unknown to the instance is final",
			http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				Expect(reply.Unknown(reply.ReasonInDoubt, "?").Write(w)).To(Succeed())
			}), http.HandlerFunc(done), "unknown: in-doubt", 0),
	)

	It("goes to the next address when the first does not listen, and reports when none does", func() {
		Expect(outcome(do(closed(), serve(done).URL))).To(Equal("done"))
		Expect(outcome(do(closed(), closed()))).To(Equal("unreachable"))
		Expect(outcome(do())).To(Equal("unreachable"))
	})

	It("states the time that is left when it repeats a request, so that instances do not work for nobody", func() {
		var left []int
		note := func(next http.HandlerFunc) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				ms, err := strconv.Atoi(r.Header.Get(reply.HeaderTimeout))
				Expect(err).NotTo(HaveOccurred())
				left = append(left, ms)
				next(w, r)
			}
		}
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			refuse(reply.ReasonDraining)(w, r)
		}
		Expect(outcome(do(addresses(serve(note(slow)), serve(note(done)))...))).To(Equal("done"))
		Expect(left[1]).To(BeNumerically("<=", left[0]-20))
	})

	It("ends at the deadline with outcome unknown when an instance is silent", func() {
		stop := make(chan struct{})
		silent := serve(func(http.ResponseWriter, *http.Request) { <-stop })
		DeferCleanup(func() { close(stop) })
		caller, closeIdle := client.NewCaller(addresses(silent), "parks")
		defer closeIdle()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := caller.Do(ctx, client.Request{Class: "check", ID: "r-1"})
		Expect(outcome(err)).To(Equal("unknown: answer-lost"))
	})

	It("keeps the whole record of a job as raw JSON", func() {
		server := serve(answerJSON(map[string]any{"spec": map[string]any{"id": "j-1"}, "state": "queued", "history": []int{1}}))
		caller, closeIdle := client.NewCaller(addresses(server), "parks")
		defer closeIdle()
		record, err := caller.Submit(context.Background(), client.Job{ID: "j-1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(record.State).To(Equal("queued"))
		Expect(string(record.Raw)).To(ContainSubstring("history"))
	})
})

var _ = Describe("operator", func() {
	publish := func(urls ...string) (client.Result, error) {
		operator, closeIdle := client.NewOperator(urls, "0123456789abcdef")
		defer closeIdle()
		return operator.Publish(context.Background(), client.Change{ID: "c-1", Base: 3})
	}

	// Guards against a change that is reported as not applied, or applied twice, after its answer was lost.
	DescribeTable("publication", func(post, get http.HandlerFunc, want string) {
		server := serve(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get("Authorization")).To(Equal("Bearer 0123456789abcdef"))
			if r.Method == http.MethodPost {
				post(w, r)
				return
			}
			Expect(r.URL.Path).To(Equal("/v1/changes/c-1"))
			get(w, r)
		})
		_, err := publish(server.URL)
		Expect(outcome(err)).To(Equal(want))
	},
		Entry("done", answerJSON(client.Result{Revision: 4}), http.HandlerFunc(cut), "done"),
		Entry("lost answer, change found", http.HandlerFunc(cut), answerJSON(client.Result{ChangeID: "c-1", Revision: 4}), "done"),
		Entry("lost answer, change not found yet", http.HandlerFunc(cut), refuse(reply.ReasonNotFound), "unknown: answer-lost"),
		Entry("conflict", refuse(reply.ReasonConflict), http.HandlerFunc(cut), "refused: conflict"),
	)

	It("decodes problems and conflicts, so that each broken reference can be shown", func() {
		server := serve(func(w http.ResponseWriter, _ *http.Request) {
			refusal := reply.Refused(reply.ReasonInvalid, "1 problem")
			refusal.Problems = []model.Problem{{Kind: model.KindGuarantee, Name: "g", Field: "shape", Message: "no such shape"}}
			refusal.Conflicts = []model.Ref{{Kind: model.KindShape, Name: "s"}}
			Expect(refusal.Write(w)).To(Succeed())
		})
		_, err := publish(server.URL)
		var replied *reply.Error
		Expect(errors.As(err, &replied)).To(BeTrue())
		Expect(replied.Problems).To(HaveLen(1))
		Expect(replied.Conflicts).To(HaveLen(1))
	})

	It("escapes names, so that one cannot reach another path", func() {
		var path string
		server := serve(func(w http.ResponseWriter, r *http.Request) {
			path = r.URL.EscapedPath()
			answerJSON(map[string]any{"events": []client.Event{{Action: "refused"}}})(w, r)
		})
		operator, closeIdle := client.NewOperator(addresses(server), "t")
		defer closeIdle()
		events, err := operator.ExplainRequest(context.Background(), "parks", "../x")
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(path).To(Equal("/v1/explain/request/parks/..%2Fx"))
	})

	It("reports reads that got no answer as unreachable, because nothing is in doubt", func() {
		operator, closeIdle := client.NewOperator(addresses(serve(cut)), "t")
		defer closeIdle()
		_, err := operator.Status(context.Background())
		Expect(outcome(err)).To(Equal("unreachable"))
	})
})
