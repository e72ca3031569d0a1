package main_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"peridotgw.example/peridotgw/internal/elect"
	"peridotgw.example/peridotgw/internal/quota"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/platform/fakepl"
)

var _ = Describe("platform", func() {
	var store *fakepl.Store
	var settings string

	BeforeEach(func() {
		store = fakepl.NewStore()
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		settings = filepath.Join(GinkgoT().TempDir(), "boot.conf")
		lines := fakepl.Settings("n", strings.TrimPrefix(server.URL, "http://"), 10000)
		Expect(os.WriteFile(settings, lines, 0o600)).To(Succeed())
		job, err := work.Encode(work.Job{ID: "00000000000000a1", Queue: "check", Tenant: "big", Accepted: time.Now(), Steps: []work.Step{{Count: 4}}})
		Expect(err).NotTo(HaveOccurred())
		store.Put(work.JobKey("00000000000000a1"), job)
		store.Put(work.CancelKey("00000000000000a1"), nil)
		progress, err := work.Encode(work.Progress{State: work.StateRunning, Steps: map[int]map[int]work.StepProgress{0: {0: {Done: []byte{5}}}}})
		Expect(err).NotTo(HaveOccurred())
		store.Put(work.ProgressKey("00000000000000a1"), progress)
		store.Put("op/evacuate/zone-2", []byte("{}"))
		store.Put(fakepl.WorkerKey("i-1"), []byte(`{"service":"pool","address":"a:1","zone":"z","state":"ready","seq":1,"capacity":{"gpu":8},"labels":["r1"]}`))
		store.Put(fakepl.WorkerKey("i-2"), []byte(`not json`))
	})

	run := func(args ...string) *gexec.Session {
		session, err := gexec.Start(exec.Command(binaryPath, append([]string{"platform", "-settings", settings}, args...)...), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		return session.Wait(10 * time.Second)
	}

	// Guards against a report that disagrees with the store, and against one unreadable entry that hides the others.
	DescribeTable("shows what the store holds", func(args string, want ...string) {
		session := run(strings.Fields(args)...)
		Expect(session.ExitCode()).To(Equal(0))
		for _, text := range want {
			Expect(string(session.Out.Contents())).To(ContainSubstring(text))
		}
	},
		Entry("jobs", "jobs", "00000000000000a1", "running", "2/4", "true"),
		Entry("one job, by step", "job 00000000000000a1", "2/4", "FAILED-RUNS", "true"),
		Entry("a valid deploy file", "check ../deploy/system.toml", "settings of instance n", "roles [peridot]"),
		Entry("zones", "zones", "zone-2", "out"),
		Entry("workers, and skips what cannot be read", "workers", "i-1", "r1", "ready"),
		Entry("instances", "instances", "INSTANCE"),
	)

	// Guards against exit codes other than those of the manual.
	DescribeTable("ends with the documented code", func(code int, args string) {
		Expect(run(strings.Fields(args)...).ExitCode()).To(Equal(code))
	},
		Entry("unknown job", 4, "job 00000000000000ff"),
		Entry("unknown subject", 1, "weather"),
		Entry("no configuration", 4, "config"),
		Entry("no leader", 4, "tenants"),
		Entry("no deploy file", 1, "check none.toml"),
	)

	// Guards against a command that shows another instance's tenants, or leaves out a cap, a use or who waits.
	It("shows what the leader knows of tenants", func() {
		type answer struct {
			Tenants   []quota.State `cbor:"1,keyasint"`
			Ownership map[int]bool  `cbor:"2,keyasint"`
		}
		mux := http.NewServeMux()
		wire.Handle(mux, "/peer/tenants", func(context.Context, *struct{}) (*answer, error) {
			return &answer{Ownership: map[int]bool{1: true}, Tenants: []quota.State{{
				Tenant: "big", Weight: 2, Cap: work.Resources{CPU: 9000}, Used: work.Resources{CPU: 8000, GPU: 3}, Share: 0.125, Waiting: 7,
			}}}, nil
		})
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		leader, err := work.Encode(elect.Node{ID: "n", Address: strings.TrimPrefix(server.URL, "http://")})
		Expect(err).NotTo(HaveOccurred())
		store.Put("system/leader", leader)
		session := run("tenants")
		Expect(session.ExitCode()).To(Equal(0))
		Expect(string(session.Out.Contents())).To(MatchRegexp(`big +2 +0 +8000/9000 +0 +3 +12.5% +7 +0`))
		server.Close()
		Expect(run("tenants").ExitCode()).To(Equal(6), "the leader does not answer")
	})

	// Guards against a check that stops at the first problem.
	It("names every problem of a deploy file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "system.toml")
		Expect(os.WriteFile(path, []byte("[roles.a]\nrun = \"env a\"\n"), 0o600)).To(Succeed())
		session := run("check", path)
		Expect(session.ExitCode()).To(Equal(1))
		for _, text := range []string{"build is missing", "roles.a.run", "roles.a.on is missing", "needs either share or count"} {
			Expect(string(session.Err.Contents())).To(ContainSubstring(text))
		}
	})

	// Guards against a check that compares with something else than what is in force, and against exit codes other than those of the manual.
	It("checks a configuration against the one in force and the workers", func() {
		const sound = `{"version": 2, "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "pool", "max_attempts": 2, "stretch": 2}],
			"services": [{"name": "pool"}], "tenants": [{"name": "t", "api_keys": ["k"], "weight": 2}]}`
		check := func(content string) *gexec.Session {
			path := filepath.Join(GinkgoT().TempDir(), "config.json")
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
			session, err := gexec.Start(exec.Command(binaryPath, "check", "-platform", "-settings", settings, path), GinkgoWriter, GinkgoWriter)
			Expect(err).NotTo(HaveOccurred())
			return session.Wait(10 * time.Second)
		}
		Expect(check(sound).ExitCode()).To(Equal(0), "nothing is in force yet")
		store.Put("op/config", []byte(strings.ReplaceAll(sound, `"weight": 2`, `"weight": 1`)))
		Expect(check(sound).ExitCode()).To(Equal(2), "the version does not rise")
		newer := strings.ReplaceAll(sound, `"version": 2`, `"version": 3`)
		session := check(newer)
		Expect(session.ExitCode()).To(Equal(0))
		Expect(string(session.Out.Contents())).To(MatchRegexp(`difference +tenant "t" +weight: 2, in force 1`))
		Expect(check(strings.ReplaceAll(newer, `"weight": 2`, `"guaranteed": {"gpu": 9}`)).ExitCode()).To(Equal(7), "the workers have 8 accelerators")
		Expect(check("not json").ExitCode()).To(Equal(1))
	})

	// Guards against a wrong settings file that is reported as an outage of the store.
	It("reports a wrong settings file as wrong input and not as a store that does not answer", func() {
		Expect(os.WriteFile(settings, fmt.Appendf(nil, "node=n\n"), 0o600)).To(Succeed())
		session := run("jobs")
		Expect(session.ExitCode()).To(Equal(1))
		Expect(string(session.Err.Contents())).To(ContainSubstring("platform.address: is missing"))
	})
})
