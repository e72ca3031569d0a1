package main_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

// binary is the path of the built program.
var binary string

// startStandin starts the program and terminates it when the spec ends.
func startStandin(args ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(binary, args...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Terminate().Wait("10s") })
	return session
}

// waitReady waits for the ready line and returns its fields.
func waitReady(session *gexec.Session) map[string]string {
	Eventually(session.Out, "10s").Should(gbytes.Say(`ready .*\n`))
	fields := map[string]string{}
	for field := range strings.FieldsSeq(string(session.Out.Contents())) {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// call sends a request and returns the status and body of the answer.
func call(method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode, string(text)
}

var _ = Describe("standin", func() {
	// Guards against a ready line or a list with addresses that the services don't answer at.
	It("serves the store on ports that the kernel chooses, and lists it", func() {
		addresses := waitReady(startStandin())
		status, _ := call(http.MethodPut, addresses["store"]+"/v1/kv/a?version=0", "x")
		Expect(status).To(Equal(http.StatusOK))
		_, text := call(http.MethodGet, addresses["control"]+"/", "")
		var list []map[string]any
		Expect(json.Unmarshal([]byte(text), &list)).To(Succeed())
		Expect(list[1]).To(And(HaveKeyWithValue("name", "store"), HaveKeyWithValue("url", addresses["store"]), HaveKeyWithValue("faults", "/faults/store")))
	})

	// Guards against fault switches that reach no fake or the wrong one without an error.
	It("passes fault switches to the named fake only", func() {
		addresses := waitReady(startStandin())
		status, _ := call(http.MethodPost, addresses["control"]+"/faults/store", `{"down":true}`)
		Expect(status).To(Equal(http.StatusOK))
		status, _ = call(http.MethodGet, addresses["store"]+"/v1/kv/a", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		status, text := call(http.MethodPost, addresses["control"]+"/faults/stor", `{}`)
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(text).To(ContainSubstring("names are store"))
	})

	// Guards against example layouts that the program no longer accepts.
	It("serves the layouts of the examples", func() {
		for _, deployment := range []string{"hollow-creek", "casco-limpio"} {
			Expect(waitReady(startStandin("-first-port", "0", "-layout", "../examples/"+deployment+"/standin.jsonc"))).To(HaveKey("store"))
		}
	})

	// Guards against a waiting watch that delays the shutdown beyond its timeout.
	It("stops in time on a signal, even while a watch waits", func() {
		session := startStandin()
		addresses := waitReady(session)
		go func() {
			response, err := http.Get(addresses["store"] + "/v1/watch?prefix=/&after=0&wait-ms=60000")
			if err == nil {
				_ = response.Body.Close()
			}
		}()
		Eventually(session.Terminate(), "10s").Should(gexec.Exit(0))
	})

	// Guards against invalid layouts that are served, or rejected without naming the field.
	DescribeTable("rejects an invalid layout with line and field", func(text, want string) {
		path := filepath.Join(GinkgoT().TempDir(), "l.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		session := startStandin("-layout", path)
		Eventually(session, "10s").Should(gexec.Exit(1))
		Expect(string(session.Err.Contents())).To(ContainSubstring(want))
	},
		Entry("unknown field", "{\n\"ports\": 1}", "l.json:2:1: ports: the field does not exist"),
		Entry("no workers", `{"data-centres":[{"name":"a","racks":[{"name":"r","workers":0,"accelerators":8,"cores":1,"memory-mb":1}]}]}`,
			"data-centres[0].racks[0].workers: 0 is less than 1"),
		Entry("name given twice", `{"data-centres":[{"name":"a"},{"name":"a"}]}`, `data-centres[1].name: \"a\" is given twice`),
		Entry("ports beyond the last", `{"first-port":65534}`, "first-port: 65534 leaves no room"),
	)
})
