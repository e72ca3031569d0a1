package main_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/reply"
)

var binaryPath string

const customers = `[
	{"kind": "customer", "name": "parks", "spec": {"quota-accelerators": 8}}, // comment
	{"kind": "customer", "name": "board", "spec": {}},
]`

// server stands in for an instance; handlers are keyed by method and path, and changes holds the changes received.
type server struct {
	*httptest.Server
	changes  []client.Change
	handlers map[string]http.HandlerFunc
}

func newServer() *server {
	s := &server{handlers: map[string]http.HandlerFunc{}}
	s.handlers["GET /v1/objects"] = respondWith(client.Objects{Revision: 7, Objects: []model.Object{
		{Kind: model.KindCustomer, Name: "parks", Revision: 3, Spec: json.RawMessage(`{"quota-accelerators":16}`)},
	}})
	s.handlers["GET /v1/status"] = respondWith(client.Status{Revision: 7})
	s.handlers["POST /v1/changes"] = func(w http.ResponseWriter, r *http.Request) {
		var change client.Change
		Expect(json.NewDecoder(r.Body).Decode(&change)).To(Succeed())
		s.changes = append(s.changes, change)
		respondWith(client.Result{ChangeID: change.ID, Revision: 8, Changed: []model.Ref{{Kind: model.KindCustomer, Name: "parks"}}})(w, r)
	}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer GinkgoRecover()
		handler, found := s.handlers[r.Method+" "+r.URL.Path]
		if !found {
			handler = respondRefused(reply.ReasonNotFound)
		}
		handler(w, r)
	}))
	DeferCleanup(s.Close)
	return s
}

func respondWith(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { Expect(json.NewEncoder(w).Encode(value)).To(Succeed()) }
}

func respondRefused(reason reply.Reason) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		refusal := reply.Refused(reason, "refused here")
		refusal.Problems = []model.Problem{{Kind: model.KindGuarantee, Name: "g", Field: "shape", Message: "no shape"}}
		refusal.Conflicts = []model.Ref{{Kind: model.KindShape, Name: "large"}}
		Expect(refusal.Write(w)).To(Succeed())
	}
}

func respondFailed(w http.ResponseWriter, _ *http.Request) {
	Expect(reply.Failed(reply.ReasonEndpointError, "ran").Write(w)).To(Succeed())
}

// closeConnection reads the request and breaks the connection without an answer.
func closeConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	connection, _, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	Expect(connection.Close()).To(Succeed())
}

// writeTempFile writes a file that is removed after the spec, and returns its path.
func writeTempFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// runProgram runs peridotctl against url and waits until it exits.
func runProgram(url string, args ...string) *gexec.Session {
	command := exec.Command(binaryPath, args...)
	command.Env = append(os.Environ(), "PERIDOT_ADDRESS="+url, "PERIDOT_TOKEN_FILE="+writeTempFile("token", "0123456789abcdef\n"))
	session, err := gexec.Start(command, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session, "30s").Should(gexec.Exit())
	return session
}

// output returns what the program wrote to standard output and standard error.
func output(session *gexec.Session) string {
	return string(session.Out.Contents()) + string(session.Err.Contents())
}

var _ = Describe("peridotctl", func() {
	// Guards against a wrong exit code, by which scripts decide whether a repeat is needed or safe.
	DescribeTable("exit codes of publish", func(handler http.HandlerFunc, want int) {
		s := newServer()
		if handler != nil {
			s.handlers["POST /v1/changes"] = handler
		}
		Expect(runProgram(s.URL, "publish", writeTempFile("c.json", customers)).ExitCode()).To(Equal(want))
	},
		Entry("done", nil, 0),
		Entry("refused", respondRefused(reply.ReasonInvalid), 2),
		Entry("conflict", respondRefused(reply.ReasonConflict), 3),
		Entry("failed", http.HandlerFunc(respondFailed), 4),
		Entry("answer lost", http.HandlerFunc(closeConnection), 5),
	)

	// Guards against an unreachable service that scripts take for a refusal or an unknown outcome.
	It("exits with 6 when no instance can be reached", func() {
		s := newServer()
		s.Close()
		Expect(runProgram(s.URL, "status").ExitCode()).To(Equal(6))
	})

	DescribeTable("exits with 1 and sends nothing when its input is wrong", func(want string, args ...string) {
		session := runProgram("http://127.0.0.1:1", args...)
		Expect(session.ExitCode()).To(Equal(1))
		Expect(output(session)).To(ContainSubstring(want))
	},
		Entry("no command", "Usage: peridotctl"),
		Entry("unknown command", "Usage: peridotctl", "publsh"),
		Entry("unknown flag", "flag provided but not defined", "status", "-all"),
		Entry("flag after arguments", "flags come before arguments", "publish", "x.json", "-dry-run"),
		Entry("unknown format", "not a format", "status", "-o", "xml"),
		Entry("missing file", "no such file", "publish", "none.json"),
		Entry("unknown kind", "not a kind", "withdraw", "team/a"),
		Entry("address without scheme", "does not start with http://", "status", "-address", "10.0.0.1:1"),
		Entry("empty token", "token file /dev/null is empty", "status", "-token-file", "/dev/null"),
		Entry("missing token", "reading token", "status", "-token-file", "none"),
		Entry("job without class", "-class", "submit", "-customer", "parks"),
	)

	// Guards against a command without an example in the manual.
	It("shows an example in the help of each command", func() {
		for _, name := range strings.Fields("validate publish withdraw get diff out in submit cancel jobs status explain leaving") {
			session := runProgram("", "help", name)
			Expect(session.ExitCode()).To(Equal(0), name)
			Expect(output(session)).To(ContainSubstring("Example:\n    peridotctl "+name), name)
		}
	})

	// Guards against files that are published apart, and against a change that cannot be repeated after a lost answer.
	It("publishes several files as one change and prints its id before sending", func() {
		s := newServer()
		other := writeTempFile("s.json", `[{"kind":"shape","name":"one","spec":{"tasks":1,"accelerators-per-task":1,"adjacency":"any"}}]`)
		session := runProgram(s.URL, "publish", "-dry-run", writeTempFile("c.json", customers), other)
		Expect(session.ExitCode()).To(Equal(0))
		Expect(s.changes).To(HaveLen(1))
		Expect(s.changes[0].Put).To(HaveLen(3))
		Expect(s.changes[0].DryRun).To(BeTrue())
		Expect(s.changes[0].Base).To(Equal(model.Revision(7)))
		Expect(output(session)).To(ContainSubstring("-change-id %s -base-revision 7", s.changes[0].ID))
	})

	It("sends the given id and base again, so that a repeat is the same change", func() {
		s := newServer()
		Expect(runProgram(s.URL, "withdraw", "-change-id", "c-1", "-base-revision", "5", "customer/parks").ExitCode()).To(Equal(0))
		Expect(s.changes).To(Equal([]client.Change{{ID: "c-1", Base: 5, Delete: []model.Ref{{Kind: model.KindCustomer, Name: "parks"}}}}))
	})

	// Guards against a refusal that does not tell the operator what to correct.
	It("prints each broken reference and conflict of a refusal, with object and field", func() {
		s := newServer()
		s.handlers["POST /v1/changes"] = respondRefused(reply.ReasonConflict)
		session := runProgram(s.URL, "publish", writeTempFile("c.json", customers))
		Expect(output(session)).To(And(ContainSubstring(`guarantee "g": shape: no shape`), ContainSubstring(`shape "large"`)))
		session = runProgram(s.URL, "publish", "-o", "json", writeTempFile("c.json", customers))
		Expect(output(session)).To(ContainSubstring(`"problems":[{"kind":"guarantee"`))
	})

	// Guards against errors that do not point at the place in the file, and against checks that need a connection.
	It("validates offline and names file, line and field", func() {
		path := writeTempFile("c.json", "[\n{\"kind\":\"customer\",\"name\":\"a\",\"spec\":{\"quota\":1}}]")
		session := runProgram("", "validate", path)
		Expect(session.ExitCode()).To(Equal(1))
		Expect(output(session)).To(ContainSubstring("c.json:2:39: [0].spec.quota"))
		Expect(runProgram("", "validate", writeTempFile("c.json", customers)).ExitCode()).To(Equal(0))
	})

	// Guards against a backup that the system does not accept.
	It("prints objects that can be published again", func() {
		session := runProgram(newServer().URL, "get", "-o", "json")
		Expect(session.ExitCode()).To(Equal(0))
		again := writeTempFile("again.json", string(session.Out.Contents()))
		Expect(runProgram("", "validate", again).ExitCode()).To(Equal(0))
	})

	// Guards against differences that come from formatting only.
	It("compares by value, field by field", func() {
		session := runProgram(newServer().URL, "diff", "-o", "json", writeTempFile("c.json", customers))
		Expect(session.ExitCode()).To(Equal(0))
		Expect(string(session.Out.Contents())).To(MatchJSON(`[
			{"kind":"customer","name":"board","change":"add","new":"{}"},
			{"kind":"customer","name":"parks","change":"change","field":"quota-accelerators","old":"16","new":"8"}]`))
	})

	// Guards against success that is reported while a member may still start tasks in the data centre.
	DescribeTable("out waits for the members", func(members []client.MemberStatus, want int) {
		s := newServer()
		s.handlers["POST /v1/data-centres/library/out"] = respondWith(client.Result{Revision: 8})
		s.handlers["GET /v1/status"] = respondWith(client.Status{Members: members})
		session := runProgram(s.URL, "out", "-wait", "600ms", "library")
		Expect(session.ExitCode()).To(Equal(want), output(session))
	},
		Entry("all confirmed", []client.MemberStatus{{Instance: "a", Revision: 8, Confirmed: true}, {Instance: "b", Revision: 9, Confirmed: true}}, 0),
		Entry("one has an older revision", []client.MemberStatus{{Instance: "a", Revision: 7, Confirmed: true}}, 5),
		Entry("one is not confirmed", []client.MemberStatus{{Instance: "a", Revision: 8}}, 5),
		Entry("no member is known, which proves nothing", nil, 5),
	)

	// Guards against a job that cannot be repeated after a lost answer, and against fields that are lost in the JSON output.
	It("prints the id of a job before it is sent and the whole record as JSON", func() {
		s := newServer()
		s.handlers["POST /v1/jobs"] = respondWith(map[string]any{"state": "queued", "history": []string{"n"}})
		session := runProgram(s.URL, "submit", "-o", "json", "-customer", "parks", "-class", "tally", "-shape", "one",
			"-payload", writeTempFile("p.json", "{\"a\":1, /* c */}"))
		Expect(session.ExitCode()).To(Equal(0), output(session))
		Expect(string(session.Err.Contents())).To(MatchRegexp(`job (job-\w+); to repeat it, add -id job-`))
		Expect(string(session.Out.Contents())).To(MatchJSON(`[{"state":"queued","history":["n"]}]`))
	})

	// Guards against one failed job that keeps the others from being cancelled.
	It("cancels the remaining jobs after an error and reports the first", func() {
		s := newServer()
		s.handlers["DELETE /v1/jobs/b"] = respondWith(map[string]any{"spec": map[string]string{"id": "b"}, "state": "stopping"})
		session := runProgram(s.URL, "cancel", "a", "b")
		Expect(session.ExitCode()).To(Equal(2))
		Expect(string(session.Out.Contents())).To(ContainSubstring("stopping"))
	})
})
