package main

import (
	"context"
	"fmt"
	"io"
	"net"
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
	portsPerRun  = 64
	portRanges   = 300 // of portsPerRun each; the process id selects the first to try
	restartDelay = 300 * time.Millisecond
)

// node is one instance of peridotd. Its process is restarted whenever it ends, as the platform does.
type node struct {
	name         string
	binary       string
	settingsPath string
	frontAddress string
	store        *proxy // carries the instance's calls to the store
	log          *os.File

	mu      sync.Mutex
	process *os.Process
	exits   int // before the end of the run
}

// newNode writes the settings of an instance and opens its log.
func newNode(dir, binary string, port, number int, storeProxy *proxy) (*node, error) {
	n := &node{
		name: fmt.Sprintf("node-%d", number), binary: binary, store: storeProxy,
		settingsPath: filepath.Join(dir, fmt.Sprintf("node-%d.conf", number)), frontAddress: fmt.Sprintf("127.0.0.1:%d", port),
	}
	var err error
	if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settingsPath, fakepl.Settings(n.name, storeProxy.address(), port), 0o600)
}

// reservePorts returns the first port of a range that no other soak uses, and what releases it: a listener on the range's last port.
// The ranges lie below the kernel's ephemeral range.
func reservePorts() (int, io.Closer, error) {
	var err error
	for i := range portRanges {
		first := firstPort + (os.Getpid()+i)%portRanges*portsPerRun
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+portsPerRun-1)); err == nil { //nolint:noctx // listening does not block
			return first, listener, nil
		}
	}
	return 0, nil, fmt.Errorf("no free range of ports: %w", err)
}

// run starts the process, restarts it whenever it ends, and kills it when ctx ends.
func (n *node) run(ctx context.Context) {
	for ctx.Err() == nil {
		cmd := exec.Command(n.binary, "-platform") //nolint:gosec,noctx // It is stopped by signals.
		cmd.Env = []string{platform.SettingsVariable + "=" + n.settingsPath, "PATH=" + os.Getenv("PATH")}
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
			_ = cmd.Wait() //nolint:errcheck // The process may end with any status.
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
		case <-time.After(restartDelay):
		case <-ctx.Done():
		}
	}
}

// signal sends a signal to the current process, if one was started.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s) //nolint:errcheck // The process may have ended.
	}
}
