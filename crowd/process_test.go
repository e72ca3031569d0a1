package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The limits of the VM in these tests. The bounds of the tests are these limits, and were fixed before any limit was built.
const (
	memoryMB       = 80  // of the process, with the bytes that its sockets have received and not yet read
	maxDescriptors = 600 // of the process
	fileReserve    = 200 // of the descriptors, kept for files
	sampleInterval = 50 * time.Millisecond
	startTimeout   = 30 * time.Second
	serveTimeout   = 30 * time.Second
	// softMemoryLimit is what an operator sets as GOMEMLIMIT for a process on a VM of memoryMB.
	softMemoryLimit = "64MiB"
)

// buildProgram builds a program of the workspace.
func buildProgram(t *testing.T, name string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), name)
	build := exec.CommandContext(t.Context(), "go", "build", "-buildvcs=false", "-o", binary, "peridotgw.example/peridotgw/"+name)
	build.Stderr = os.Stderr
	NewWithT(t).Expect(build.Run()).To(Succeed())
	return binary
}

// process is a program that was started, with the peaks of what it used.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	output *lockedBuffer

	mu              sync.Mutex // guards the peaks
	peakMemory      int        // in kB: resident, and received but not yet read
	peakResident    int        // in kB
	peakDescriptors int
}

// startProcess starts a program with maxDescriptors; it is killed at the end of the test.
func startProcess(t *testing.T, env []string, program string, args ...string) *process {
	t.Helper()
	limited := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxDescriptors)
	p := &process{
		cmd:    exec.CommandContext(t.Context(), "/bin/sh", append([]string{"-c", limited, program}, args...)...),
		ended:  make(chan struct{}),
		output: &lockedBuffer{},
	}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	NewWithT(t).Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("last output:\n%s", p.output.tail())
		}
	})
	return p
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// readyLine waits for the line with which a program reports its addresses, and returns them by name.
func (p *process) readyLine(g Gomega) map[string]string {
	addresses := map[string]string{}
	g.Eventually(func() map[string]string {
		scanner := bufio.NewScanner(strings.NewReader(p.output.String()))
		for scanner.Scan() {
			fields, found := strings.CutPrefix(scanner.Text(), "ready ")
			if !found {
				continue
			}
			for field := range strings.FieldsSeq(fields) {
				name, value, _ := strings.Cut(field, "=")
				addresses[name] = value
			}
		}
		return addresses
	}, startTimeout, "20ms").ShouldNot(BeEmpty())
	return addresses
}

// sample measures the process until ctx ends.
func (p *process) sample(ctx context.Context) {
	for ctx.Err() == nil && p.alive() {
		p.sampleOnce()
		time.Sleep(sampleInterval)
	}
}

func (p *process) sampleOnce() {
	resident, unread, descriptors := p.resident(), p.unread(), p.descriptors()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakResident = max(p.peakResident, resident)
	p.peakMemory = max(p.peakMemory, resident+unread)
	p.peakDescriptors = max(p.peakDescriptors, descriptors)
}

func (p *process) proc(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name)
}

// resident returns the resident memory in kB.
func (p *process) resident() int {
	status, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kB, _ := strconv.Atoi(fields[0])
	return kB
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(p.proc("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// unread returns the bytes, in kB, that the sockets of the process have received and the process has not read.
func (p *process) unread() int {
	entries, err := os.ReadDir(p.proc("fd"))
	if err != nil {
		return 0
	}
	own := map[string]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(p.proc("fd/" + entry.Name()))
		if inode, found := strings.CutPrefix(target, "socket:["); err == nil && found {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	total := int64(0)
	table, err := os.ReadFile(p.proc("net/tcp"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const stateColumn, queueColumn, inodeColumn, listening = 3, 4, 9, "0A"
		if len(fields) <= inodeColumn || !own[fields[inodeColumn]] || fields[stateColumn] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queueColumn], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return int(total >> 10)
}

// peaks describes what was measured.
func (p *process) peaks() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("resident %d MB, with unread bytes %d MB, %d descriptors", p.peakResident>>10, p.peakMemory>>10, p.peakDescriptors)
}

// expectWithinLimits checks that the process lives, and what was measured, against the limits of its VM.
func (p *process) expectWithinLimits(g Gomega) {
	g.Expect(p.alive()).To(BeTrue(), "the process lives")
	p.expectPeaksWithinLimits(g)
}

// expectPeaksWithinLimits checks what was measured, also of a process that has ended.
func (p *process) expectPeaksWithinLimits(g Gomega) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.Expect(p.peakMemory).To(BeNumerically("<=", memoryMB<<10), "kB of memory, the limit of the VM")
	g.Expect(p.peakDescriptors).To(BeNumerically("<=", maxDescriptors-fileReserve), "open descriptors, the limit of the VM")
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func (b *lockedBuffer) tail() string {
	const shown = 4 << 10
	text := b.String()
	return text[max(0, len(text)-shown):]
}
