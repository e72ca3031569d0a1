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

// instance is a server with a fixed handler; it counts the calls that reach it.
type instance struct {
	*httptest.Server
	calls int
}

func newInstance(handler http.HandlerFunc) *instance {
	i := &instance{}
	i.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.calls++
		handler(w, r)
	}))
	DeferCleanup(i.Close)
	return i
}

func answerDone(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(reply.HeaderOutcome, "done")
	w.Header().Set(reply.HeaderRequestID, r.Header.Get(reply.HeaderRequestID))
	w.Header().Set(reply.HeaderAttempts, "2")
	fmt.Fprint(w, "score 7")
}

func answerRefused(reason reply.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		Expect(reply.Refused(reason, "no").Write(w)).To(Succeed())
	}
}

// abortBeforeAnswer reads the request and breaks the connection without an answer.
func abortBeforeAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection with a TCP reset, which the client sees as a network error and not as end of file.
func resetConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	connection, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.(*net.TCPConn).SetLinger(0)).To(Succeed())
	Expect(connection.Close()).To(Succeed())
}

// abortInAnswer breaks the connection after a part of the answer.
func abortInAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	answerDone(w, r)
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// answerOtherRequest sends the answer to another request.
func answerOtherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(reply.HeaderOutcome, "done")
	w.Header().Set(reply.HeaderRequestID, "another")
}

// answerText sends an error page without an outcome, as a balancer does.
func answerText(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "balancer", status) }
}

func answerJSON(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { Expect(json.NewEncoder(w).Encode(value)).To(Succeed()) }
}

// closedAddress returns the address of a server that no longer listens.
func closedAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

// outcomeText describes err as "outcome: reason", "done" or "unreachable".
func outcomeText(err error) string {
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

	// Guards against headers that are missing or in another unit, which would change the deadline of a request.
	It("returns the whole answer and sends id, customer and time left", func() {
		var got http.Header
		server := newInstance(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header
			answerDone(w, r)
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
		Expect(outcomeText(do(newInstance(handler).URL))).To(Equal(want))
	},
		Entry("cut before the answer", http.HandlerFunc(abortBeforeAnswer), "unknown: answer-lost"),
		Entry("reset before the answer", http.HandlerFunc(resetConnection), "unknown: answer-lost"),
		Entry("cut inside the answer", http.HandlerFunc(abortInAnswer), "unknown: answer-incomplete"),
		Entry("answer to another request", http.HandlerFunc(answerOtherRequest), "unknown: answer-crossed"),
		Entry("error page of a balancer", answerText(http.StatusBadGateway), "unknown: answer-lost"),
		Entry("success without an outcome", answerJSON("x"), "unknown: answer-crossed"),
		Entry("redirect", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}), "unknown: answer-lost"),
		Entry("refusal", answerRefused(reply.ReasonQueueFull), "refused: queue-full"),
	)

	// Guards against a refused repeat that hides a lost answer, and against retries that add load during an overload.
	DescribeTable("outcome of two addresses", func(first, second http.HandlerFunc, want string, secondCalls int) {
		a, b := newInstance(first), newInstance(second)
		Expect(outcomeText(do(addresses(a, b)...))).To(Equal(want))
		Expect(b.calls).To(Equal(secondCalls))
	},
		Entry("after a lost answer the request is sent again with the same id", http.HandlerFunc(abortBeforeAnswer), http.HandlerFunc(answerDone), "done", 1),
		Entry("a refused repeat does not prove that the first send did not run",
			http.HandlerFunc(abortBeforeAnswer), answerRefused(reply.ReasonConfigStale), "unknown: answer-lost", 1),
		Entry("nor does a repeat that is refused because the queue is full",
			http.HandlerFunc(abortBeforeAnswer), answerRefused(reply.ReasonQueueFull), "unknown: answer-lost", 1),
		Entry("a request that a draining instance refuses goes to the next instance", answerRefused(reply.ReasonDraining), http.HandlerFunc(answerDone), "done", 1),
		Entry("overload is not spread to the next instance", answerRefused(reply.ReasonOverload), http.HandlerFunc(answerDone), "refused: overload", 0),
		Entry("an outcome unknown to the instance is final",
			http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				Expect(reply.Unknown(reply.ReasonInDoubt, "?").Write(w)).To(Succeed())
			}), http.HandlerFunc(answerDone), "unknown: in-doubt", 0),
	)

	// Guards against an unreachable instance that makes the call fail, or that is reported as an unknown outcome.
	It("tries the next address when the first does not listen, and reports an unreachable service when none does", func() {
		Expect(outcomeText(do(closedAddress(), newInstance(answerDone).URL))).To(Equal("done"))
		Expect(outcomeText(do(closedAddress(), closedAddress()))).To(Equal("unreachable"))
		Expect(outcomeText(do())).To(Equal("unreachable"))
	})

	It("states the time that is left when it repeats a request, so that instances do not process requests whose caller has given up", func() {
		var left []int
		recordTimeLeft := func(next http.HandlerFunc) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				ms, err := strconv.Atoi(r.Header.Get(reply.HeaderTimeout))
				Expect(err).NotTo(HaveOccurred())
				left = append(left, ms)
				next(w, r)
			}
		}
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			answerRefused(reply.ReasonDraining)(w, r)
		}
		Expect(outcomeText(do(addresses(newInstance(recordTimeLeft(slow)), newInstance(recordTimeLeft(answerDone)))...))).To(Equal("done"))
		Expect(left[1]).To(BeNumerically("<=", left[0]-20))
	})

	// Guards against a caller that hangs, and against a silent instance that is reported as a refusal.
	It("ends at the deadline with outcome unknown when an instance is silent", func() {
		stop := make(chan struct{})
		silent := newInstance(func(http.ResponseWriter, *http.Request) { <-stop })
		DeferCleanup(func() { close(stop) })
		caller, closeIdle := client.NewCaller(addresses(silent), "parks")
		defer closeIdle()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := caller.Do(ctx, client.Request{Class: "check", ID: "r-1"})
		Expect(outcomeText(err)).To(Equal("unknown: answer-lost"))
	})

	// Guards against fields of a record that the client's type does not have and that would be lost.
	It("keeps the whole record of a job as raw JSON", func() {
		server := newInstance(answerJSON(map[string]any{"spec": map[string]any{"id": "j-1"}, "state": "queued", "history": []int{1}}))
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
		server := newInstance(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.Header.Get("Authorization")).To(Equal("Bearer 0123456789abcdef"))
			if r.Method == http.MethodPost {
				post(w, r)
				return
			}
			Expect(r.URL.Path).To(Equal("/v1/changes/c-1"))
			get(w, r)
		})
		_, err := publish(server.URL)
		Expect(outcomeText(err)).To(Equal(want))
	},
		Entry("done", answerJSON(client.Result{Revision: 4}), http.HandlerFunc(abortBeforeAnswer), "done"),
		Entry("lost answer, change found", http.HandlerFunc(abortBeforeAnswer), answerJSON(client.Result{ChangeID: "c-1", Revision: 4}), "done"),
		Entry("lost answer, change not found yet", http.HandlerFunc(abortBeforeAnswer), answerRefused(reply.ReasonNotFound), "unknown: answer-lost"),
		Entry("conflict", answerRefused(reply.ReasonConflict), http.HandlerFunc(abortBeforeAnswer), "refused: conflict"),
	)

	It("decodes problems and conflicts, so that each broken reference can be shown", func() {
		server := newInstance(func(w http.ResponseWriter, _ *http.Request) {
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
		server := newInstance(func(w http.ResponseWriter, r *http.Request) {
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

	It("reports reads without an answer as unreachable, because a read changes nothing", func() {
		operator, closeIdle := client.NewOperator(addresses(newInstance(abortBeforeAnswer)), "t")
		defer closeIdle()
		_, err := operator.Status(context.Background())
		Expect(outcomeText(err)).To(Equal("unreachable"))
	})
})
