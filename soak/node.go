package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

const (
	firstPort    = 10000
	portsPerNode = 4
	portsPerSoak = 64
	soaksApart   = 300
	restartAfter = 300 * time.Millisecond
)

// node is one peridotd process, restarted whenever it ends, as the platform does.
type node struct {
	name     string
	binary   string
	settings string
	front    string
	store    *proxy
	log      *os.File

	mu      sync.Mutex
	process *os.Process
	exits   int
}

// newNode writes the settings of an instance.
func newNode(dir, binary string, number int, storeProxy *proxy) (*node, error) {
	port := nodePorts(number)
	n := &node{
		name: fmt.Sprintf("node-%d", number), binary: binary, store: storeProxy,
		settings: filepath.Join(dir, fmt.Sprintf("node-%d.conf", number)), front: fmt.Sprintf("127.0.0.1:%d", port),
	}
	var err error
	if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, fakepl.Settings(n.name, storeProxy.address(), port), 0o600)
}

// nodePorts returns the first of the ports of an instance. They lie below those that the kernel gives out, and apart for
// soaks that run beside each other.
func nodePorts(number int) int {
	return firstPort + (os.Getpid()%soaksApart)*portsPerSoak + number*portsPerNode
}

// run keeps the process going until ctx ends.
func (n *node) run(ctx context.Context) {
	for ctx.Err() == nil {
		cmd := exec.Command(n.binary, "-platform") //nolint:gosec,noctx // It is stopped by signals.
		cmd.Env = []string{platform.SettingsVariable + "=" + n.settings, "PATH=" + os.Getenv("PATH")}
		cmd.Stdout, cmd.Stderr = n.log, n.log
		if err := cmd.Start(); err != nil {
			fmt.Println("soak:", err)
			return
		}
		n.mu.Lock()
		n.process = cmd.Process
		n.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = cmd.Wait() //nolint:errcheck // Processes are meant to end in any way.
			close(ended)
		}()
		select {
		case <-ended:
			n.mu.Lock()
			n.exits++
			n.mu.Unlock()
		case <-ctx.Done():
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-ended
			return
		}
		select {
		case <-time.After(restartAfter):
		case <-ctx.Done():
		}
	}
}

// signal sends a signal to the process that this node started.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s) //nolint:errcheck // It may just have ended.
	}
}
