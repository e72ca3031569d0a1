package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/client"
	"peridotgw.example/peridotgw/internal/wire"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	settleTime    = 20 * time.Second // for the crowd to have sent what it sends
	standTime     = 2 * time.Second  // for which the crowd stands before an ordinary caller comes
	ordinaryTime  = 5 * time.Second  // of an ordinary request
	operatorToken = "crowd-operator-token"
	nextJobID     = "%016x"
)

// door is a server of an instance that a crowd comes to.
type door struct {
	address string
	head    string       // of the crowd's requests
	serve   func() error // sends one ordinary request
	largest func() error // sends one request with the largest body; nil where the server has none
}

// press lets a crowd come to a door, and checks the limits, an ordinary request beside the crowd and, after it, a largest body.
func press(t *testing.T, p *process, d door, k kind) {
	t.Helper()
	g := NewWithT(t)
	g.Eventually(d.serve, startTimeout, "100ms").Should(Succeed(), "an ordinary request before the crowd")
	sampling, endSampling := context.WithCancel(t.Context())
	defer endSampling()
	go p.sample(sampling)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	c := &crowd{address: d.address, head: d.head, kind: k}
	c.run(ctx)
	g.Eventually(c.sentOnce.Load, settleTime, "20ms").Should(BeNumerically("==", crowdClients), "clients that have sent")
	time.Sleep(standTime)
	t.Logf("%d of %d clients stand, %d connections closed; %s", c.standing.Load(), crowdClients, c.closed.Load(), p.peaks())
	g.Eventually(d.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request beside the crowd")
	leave()
	c.group.Wait()
	g.Eventually(d.serve, serveTimeout, "100ms").Should(Succeed(), "an ordinary request after the crowd")
	if d.largest != nil {
		g.Eventually(d.largest, serveTimeout, "500ms").Should(Succeed(), "a request with the largest body after the crowd")
	}
	t.Logf("peak: %s", p.peaks())
	p.expectWithinLimits(g)
}

// send sends a request over a connection of its own and expects a status.
func send(status int, method, url string, header http.Header, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header, request.Close = header.Clone(), true
	if host := header.Get("Host"); host != "" {
		request.Host = host
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != status {
		return &statusError{status: answer.StatusCode, text: string(text)}
	}
	return nil
}

// statusError reports an answer with another status than the one that was expected.
type statusError struct {
	status int
	text   string
}

// Error gives the answer.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// freePorts returns the first of a few consecutive ports that were free a moment ago.
func freePorts(g Gomega, count int) int {
	const lowest, highest = 21_000, 31_000
	for first := lowest + os.Getpid()%1000*count; first < highest; first += count {
		free := true
		for port := first; port < first+count && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first
		}
	}
	g.Expect(false).To(BeTrue(), "no free range of ports")
	return 0
}

// platformSite is the stand-in of the platform, with the settings of one instance.
type platformSite struct {
	binary   string
	store    *fakepl.Store
	settings string // path
	port     int    // the first of the instance
	url      string // of the queue
	header   http.Header
}

// givenLimits are the lines of the settings that give the limits of the VM.
func givenLimits() string {
	return fmt.Sprintf("limits.memory_mb=%d\nlimits.max_fds=%d", memoryMB, maxDescriptors)
}

func newPlatformSite(t *testing.T, binary string) *platformSite {
	t.Helper()
	return newPlatformSiteOf(t, binary, givenLimits())
}

// newPlatformSiteOf returns a site whose settings have other lines for the limits of the VM.
func newPlatformSiteOf(t *testing.T, binary, limits string) *platformSite {
	t.Helper()
	g := NewWithT(t)
	store := fakepl.NewStore()
	store.Put(fakepl.ConfigKey, fakepl.Config(1, 1))
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	port := freePorts(g, 4)
	settings := string(fakepl.Settings("node-1", strings.TrimPrefix(storeServer.URL, "http://"), port))
	const line = "limits.memory_mb=284"
	g.Expect(settings).To(ContainSubstring(line))
	settings = strings.Replace(settings, line, limits, 1)
	path := filepath.Join(t.TempDir(), "node.conf")
	g.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	return &platformSite{
		binary: binary, store: store, settings: path, port: port, url: fmt.Sprintf("http://127.0.0.1:%d%s", port, fakepl.QueuePrefix),
		header: http.Header{"Host": {fakepl.Host}, "Authorization": {"Bearer " + fakepl.APIKey}, "Content-Type": {"application/json"}},
	}
}

// start starts the instance, with env besides the path of its settings.
func (s *platformSite) start(t *testing.T, env ...string) *process {
	t.Helper()
	return startProcess(t, append(env, platform.SettingsVariable+"="+s.settings), s.binary, "-platform")
}

// submit hands in a job and expects it to be accepted.
func (s *platformSite) submit(number int, body []byte) error {
	return send(http.StatusOK, http.MethodPost, s.url+fmt.Sprintf(nextJobID, number), s.header, body)
}

// platformInstance starts an instance on the platform's stand-in and returns its doors.
func platformInstance(t *testing.T, binary string) (p *process, callers, peers door) {
	t.Helper()
	site := newPlatformSite(t, binary)
	callers, peers = site.doors()
	return site.start(t), callers, peers
}

// largestJob returns the largest body of a job.
func largestJob() []byte {
	return append(fakepl.Job(1, 0, false, 1000), bytes.Repeat([]byte(" "), bodyBytes)...)[:bodyBytes]
}

// doors returns the servers of the instance for callers and for other instances.
func (s *platformSite) doors() (callers, peers door) {
	address := fmt.Sprintf("127.0.0.1:%d", s.port)
	jobs := 0
	submit := func(body []byte) error {
		jobs++
		return s.submit(jobs, body)
	}
	callers = door{
		address: address,
		head: "POST " + fakepl.QueuePrefix + crowdJob + " HTTP/1.1\r\nHost: " + fakepl.Host + "\r\nAuthorization: Bearer " +
			fakepl.APIKey + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: 600000\r\n",
		serve:   func() error { return submit(fakepl.Job(1, 0, false, 1000)) },
		largest: func() error { return submit(largestJob()) },
	}
	peerAddress := fmt.Sprintf("127.0.0.1:%d", s.port+2)
	peers = door{
		address: peerAddress,
		head: "POST /peer/change HTTP/1.1\r\nHost: " + peerAddress + "\r\nContent-Type: application/cbor\r\n" +
			"Connect-Protocol-Version: 1\r\n",
		serve: func() error {
			caller, closeIdle := wire.NewCaller(ordinaryTime)
			defer closeIdle()
			_, err := wire.Call[jobQuery, jobAnswer](context.Background(), caller, peerAddress, "/peer/job-state", &jobQuery{ID: "0000000000000001"})
			return err
		},
	}
	return callers, peers
}

// jobQuery and jobAnswer are the messages with which an instance asks a peer for the state of a job.
type jobQuery struct {
	ID string `cbor:"1,keyasint"`
}

type jobAnswer struct {
	Found bool `cbor:"2,keyasint,omitempty"`
}

// Guards against jobs' callers that end the process, or shut others out, with bodies that stop just short of their end.
func TestCrowdAtTheCallersOfThePlatform(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for _, k := range []kind{kindWhole, kindPieces, kindChunks, kindSingle} {
		t.Run(string(k), func(t *testing.T) {
			p, callers, _ := platformInstance(t, binary)
			press(t, p, callers, k)
		})
	}
}

// Guards against the same at the server for other instances. Callers of jobs are still served beside it.
func TestCrowdAtThePeersOfThePlatform(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for _, k := range []kind{kindWhole, kindChunks} {
		t.Run(string(k), func(t *testing.T) {
			p, _, peers := platformInstance(t, binary)
			press(t, p, peers, k)
		})
	}
}

// Guards against a crowd of callers that keeps other instances from calling this one.
func TestCallsBetweenInstancesBesideACrowdOfCallers(t *testing.T) {
	p, callers, peers := platformInstance(t, buildProgram(t, "peridotd"))
	NewWithT(t).Eventually(callers.serve, startTimeout, "100ms").Should(Succeed())
	callers.serve, callers.largest = peers.serve, nil
	press(t, p, callers, kindWhole)
}

const (
	layoutText = `{"data-centres": [{"name": "north", "endpoints": 2, "slots": 8, "racks": [
		{"name": "north-r1", "workers": 2, "accelerators": 8, "cores": 64, "memory-mb": 262144}]}]}`
	objectsText = `[
		{"kind": "data-centre", "name": "north", "spec": {"service": "in", "racks": [
			{"name": "north-r1", "workers": 2, "accelerators-per-worker": 8, "cores-per-worker": 64, "memory-mb-per-worker": 262144}]}},
		{"kind": "customer", "name": "customer-1", "spec": {}},
		{"kind": "request-class", "name": "scan", "spec": {"priority": "normal", "idempotent": true, "timeout": "10s"}}
	]`
)

// gatewayInstance starts an instance of the project's own gateway beside the stand-in, and returns its doors.
func gatewayInstance(t *testing.T, binary string, standin map[string]string) (p *process, callers, operators, peers door) {
	t.Helper()
	g := NewWithT(t)
	const port = "127.0.0.1:0"
	text, err := json.Marshal(map[string]any{
		"instance": "entry-1", "data-centre": "north",
		"listen":    map[string]string{"callers": port, "operators": port, "peers": port, "metrics": port},
		"store":     map[string]string{"url": standin["store"]},
		"vm-list":   map[string]string{"url": standin["vm-list"], "every": "1s"},
		"operators": []map[string]string{{"name": "crowd", "token": operatorToken}},
		"log":       map[string]string{"level": "warn", "format": "console"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "entry-1.jsonc")
	g.Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
	p = startProcess(t, []string{"GOMEMLIMIT=" + softMemoryLimit}, binary, path)
	addresses := p.readyLine(g)
	publish(t, "http://"+addresses["operators"])

	requests := 0
	scan := func(body []byte) error {
		requests++
		header := http.Header{"Peridot-Customer": {"customer-1"}, "Peridot-Request-Id": {fmt.Sprintf("r-%d", requests)}}
		return send(http.StatusOK, http.MethodPost, "http://"+addresses["callers"]+"/v1/requests/scan", header, body)
	}
	callers = door{
		address: addresses["callers"],
		head:    "POST /v1/requests/scan HTTP/1.1\r\nHost: a\r\nPeridot-Customer: customer-1\r\nPeridot-Request-Id: crowd\r\n",
		serve:   func() error { return scan([]byte("x")) },
		largest: func() error { return scan(bytes.Repeat([]byte("x"), bodyBytes)) },
	}
	bearer := http.Header{"Authorization": {"Bearer " + operatorToken}}
	operators = door{
		address: addresses["operators"],
		head:    "POST /v1/changes HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + operatorToken + "\r\n",
		serve: func() error {
			return send(http.StatusOK, http.MethodGet, "http://"+addresses["operators"]+"/v1/status", bearer, nil)
		},
	}
	peers = door{
		address: addresses["peers"],
		head:    "POST /peer/exchange HTTP/1.1\r\nHost: a\r\nContent-Type: application/cbor\r\nConnect-Protocol-Version: 1\r\n",
		serve:   callers.serve,
	}
	return p, callers, operators, peers
}

// publish publishes the objects; instances refuse changes until they have confirmed the configuration in force.
func publish(t *testing.T, operators string) {
	t.Helper()
	g := NewWithT(t)
	change := client.Change{ID: client.NewChangeID()}
	g.Expect(json.Unmarshal([]byte(objectsText), &change.Put)).To(Succeed())
	operator, done := client.NewOperator([]string{operators}, operatorToken)
	defer done()
	g.Eventually(func() error {
		_, err := operator.Publish(t.Context(), change)
		return err
	}, startTimeout, "200ms").Should(Succeed())
}

// startStandin starts the stand-in of the gateway's platform and returns its addresses.
func startStandin(t *testing.T) map[string]string {
	t.Helper()
	g := NewWithT(t)
	layout := filepath.Join(t.TempDir(), "layout.jsonc")
	g.Expect(os.WriteFile(layout, []byte(layoutText), 0o600)).To(Succeed())
	return startProcess(t, nil, buildProgram(t, "standin"), "-layout", layout, "-first-port", "0").readyLine(g)
}

// Guards against clients of the project's own gateway that end the process or shut others out.
func TestCrowdAtTheGateway(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for _, k := range []kind{kindWhole, kindPieces, kindChunks, kindSingle} {
		t.Run(string(k), func(t *testing.T) {
			p, callers, _, _ := gatewayInstance(t, binary, startStandin(t))
			press(t, p, callers, k)
		})
	}
}

// Guards against the same at the operators' API, whose bodies may be larger.
func TestCrowdAtTheOperatorsAPI(t *testing.T) {
	binary := buildProgram(t, "peridotd")
	for _, k := range []kind{kindWhole, kindChunks} {
		t.Run(string(k), func(t *testing.T) {
			p, _, operators, _ := gatewayInstance(t, binary, startStandin(t))
			press(t, p, operators, k)
		})
	}
}

// Guards against the same at the server for other instances of the gateway.
func TestCrowdAtThePeersOfTheGateway(t *testing.T) {
	p, _, _, peers := gatewayInstance(t, buildProgram(t, "peridotd"), startStandin(t))
	press(t, p, peers, kindChunks)
}
