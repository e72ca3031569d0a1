package main

import (
	"bufio"
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// readyTimeout limits the time from the start of a process to its ready line.
const readyTimeout = 10 * time.Second

// process is a child process that prints a line "ready name=address ..." on stdout.
type process struct {
	name string
	cmd  *exec.Cmd
	// ready maps the listener names of the ready line to their addresses.
	ready map[string]string
	// done is closed when the process has exited; err is its result and is valid from then on.
	done chan struct{}
	err  error
}

// startProcess starts a program, appends its stderr to a log file, and waits for its ready line.
func startProcess(ctx context.Context, logs, name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // The folder is the program's own.
	if err != nil {
		return nil, eris.Wrapf(err, "creating the log of %s", name)
	}
	cmd := exec.Command(program, args...) //nolint:gosec,noctx // The scenario ends it on purpose; otherwise stop ends it.
	cmd.Stderr = log
	// A separate process group keeps an interrupt at the terminal from reaching it before the demo stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrapf(err, "starting %s", name)
	}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(errors.Join(err, log.Close()), "starting %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	lines := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			if line := scanner.Text(); strings.HasPrefix(line, "ready ") {
				lines <- line
			}
		}
		p.err = errors.Join(cmd.Wait(), log.Close())
		close(p.done)
	}()
	select {
	case line := <-lines:
		p.ready = parseReady(line)
		return p, nil
	case <-p.done:
		return nil, eris.Errorf("%s ended before it was ready: %v", name, p.err)
	case <-time.After(readyTimeout):
		return nil, eris.Wrapf(errors.Join(eris.New("no ready line"), p.kill()), "starting %s", name)
	case <-ctx.Done():
		return nil, eris.Wrapf(errors.Join(ctx.Err(), p.kill()), "starting %s", name)
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

// terminate requests a graceful stop and returns its duration. It fails when the process exits with an error, or is still
// running after the duration within; it is then killed.
func (p *process) terminate(within time.Duration) (time.Duration, error) {
	begin := time.Now()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, eris.Wrapf(err, "stopping %s", p.name)
	}
	select {
	case <-p.done:
		return time.Since(begin), eris.Wrapf(p.err, "stopping %s", p.name)
	case <-time.After(within):
		return 0, eris.Wrapf(errors.Join(eris.Errorf("still running after %s", within), p.kill()), "stopping %s", p.name)
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() error {
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return eris.Wrapf(err, "killing %s", p.name)
	}
	<-p.done
	return nil
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
