// Command standin-3 plays the scenes of the review's scripts: it is the platform's store, its minions and its clients, and runs the
// system's own program as separate processes on loopback.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// timeLimit ends a scene that takes too long, with all its processes.
const timeLimit = 115 * time.Second

// scene is one run of the system with its surroundings.
type scene struct {
	trouble bool
	dir     string
	root    string
	binary  string
	rec     *record
	store   *store
	address string // of the store
	fleet   *fleet
	nodes   []*node
	caller  *caller
	extra   []string // further settings of the processes
	done    chan struct{}
	group   sync.WaitGroup
}

func main() {
	name := flag.String("scene", "", "scene to play")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository, with the built program below target/")
	logs := flag.String("logs", "", "folder for the logs of the processes; a temporary one without it")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *root, *logs))
}

// play plays a scene and returns the exit code.
func play(name, recordPath, root, logs string) int {
	scenes := map[string]func(*scene) ([]string, error){
		"lasting": playLasting, "born": playBorn, "advice": playAdvice, "crash": playCrash, "long": playLong,
	}
	play := scenes[name]
	if play == nil {
		_, _ = fmt.Fprintln(os.Stderr, "no such scene:", name)
		return exitUnable
	}
	dir := logs
	if dir == "" {
		temporary, err := os.MkdirTemp("", "scene-")
		if err != nil {
			return unable(err)
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return unable(err)
	}
	defer func() { _ = file.Close() }()
	root, err = filepath.Abs(root)
	if err != nil {
		return unable(err)
	}
	s := &scene{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: root, binary: filepath.Join(root, "target", "peridotd"),
		rec: &record{file: file, since: time.Now()}, store: newStore(), done: make(chan struct{}),
	}
	s.fleet = &fleet{rec: s.rec, store: s.store}
	s.rec.add("scene %s, trouble %t", name, s.trouble)
	if s.address, err = s.serve(s.store); err != nil {
		return unable(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		os.Exit(exitUnable)
	}()
	broken, err := play(s)
	close(s.done)
	s.group.Wait()
	if err != nil {
		s.rec.add("the scene could not be played: %v", err)
		return unable(err)
	}
	if len(broken) > 0 {
		s.rec.add("RESULT broken, %d times", len(broken))
		fmt.Println(name+": broken:", broken[0])
		return exitBroken
	}
	s.rec.add("RESULT held")
	fmt.Println(name + ": held")
	return exitHeld
}

func unable(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, err)
	return exitUnable
}

// serve serves a handler on loopback until the end of the process.
func (s *scene) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addMinions starts minions of a service, perRack in a rack.
func (s *scene) addMinions(count, perRack int) error {
	for i := range count {
		m := &minion{
			fleet: s.fleet, id: fmt.Sprintf("i-%02d", i), service: "festival-score", zone: "courthouse",
			labels: []string{"a", fmt.Sprintf("r1-%d", i/perRack)}, cpu: 64000, memMB: 262144, gpu: 8,
		}
		s.fleet.minions = append(s.fleet.minions, m)
		if err := m.start(); err != nil {
			return err
		}
		s.group.Go(func() { m.beatUntil(s.done) })
	}
	return nil
}

// addNodes starts processes of the system and waits until all are ready.
func (s *scene) addNodes(count int) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Go(func() {
		<-s.done
		cancel()
	})
	for i := range count {
		n, err := newNode(&s.fleet.ports, s.dir, s.binary, s.address, fmt.Sprintf("front-courthouse-%d", i+1), s.extra)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.group.Go(func() { n.run(ctx, s.root) })
	}
	s.caller = &caller{nodes: s.nodes, rec: s.rec, host: "nony24.example"}
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			res, err := http.Get("http://" + n.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == count && s.store.has("system/leader") {
			s.rec.add("all processes are ready")
			return nil
		}
	}
	return fmt.Errorf("the processes did not become ready")
}

// config is the operator's configuration: a queue of each priority, and two tenants.
const config = `{"version":7,"routes":[
{"name":"r-check","host":"nony24.example","prefix":"/check/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"festival-score","max_attempts":4,"stretch":1.5,"allow_anonymous":false},
{"name":"r-scan","host":"nony24.example","prefix":"/scan/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"festival-score","max_attempts":4,"stretch":3.0,"allow_anonymous":false},
{"name":"r-tally","host":"nony24.example","prefix":"/tally/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"festival-score","max_attempts":3,"stretch":3.0,"allow_anonymous":false}],
"services":[{"name":"festival-score","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,"enforces_capacity":false,"standby":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"judges","api_keys":["key-judges-1"],"priority":1,"guaranteed":{"gpu":16}},{"name":"board","api_keys":["key-board-1"],"priority":1,"guaranteed":{"gpu":0}}]}`

func (s *scene) sleepUntil(second float64) {
	time.Sleep(time.Until(s.rec.since.Add(time.Duration(second * float64(time.Second)))))
}
