package fleet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// readyTimeout limits the time from the start of a process to its ready line.
const readyTimeout = 15 * time.Second

// process is a child process that prints a line "ready name=address ...". done is closed after its exit.
type process struct {
	name  string
	cmd   *exec.Cmd
	ready map[string]string
	done  chan struct{}
}

// start starts a program, writes its stderr to a log file in the folder, and waits for its ready line.
func start(ctx context.Context, folder, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, name+".log")) //nolint:gosec // The folder is the program's own.
	if err != nil {
		return nil, fmt.Errorf("creating the log of %s: %w", name, err)
	}
	cmd := exec.Command(program, args...) //nolint:gosec,noctx // stop ends it, also when ctx has ended.
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, errors.Join(err, log.Close()))
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s (run make build first): %w", name, errors.Join(err, log.Close()))
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	lines := make(chan string, 1)
	go func() {
		defer close(p.done)
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			if line := scanner.Text(); strings.HasPrefix(line, "ready ") {
				lines <- line
			}
		}
		// The exit error is expected, because stop kills the process.
		if err := errors.Join(cmd.Wait(), log.Close()); err != nil {
			return
		}
	}()
	select {
	case line := <-lines:
		p.ready = parseReady(line)
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%s exited before it was ready (log in %s)", name, log.Name())
	case <-time.After(readyTimeout):
		return nil, errors.Join(fmt.Errorf("%s is not ready after %s", name, readyTimeout), p.stop())
	case <-ctx.Done():
		return nil, errors.Join(ctx.Err(), p.stop())
	}
}

func parseReady(line string) map[string]string {
	ready := map[string]string{}
	for _, field := range strings.Fields(line)[1:] {
		if name, value, ok := strings.Cut(field, "="); ok {
			ready[name] = value
		}
	}
	return ready
}

// stop kills the process by its id and waits for its exit.
func (p *process) stop() error {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("ending %s: %w", p.name, err)
	}
	<-p.done
	return nil
}
