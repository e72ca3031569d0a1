package main

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stalled reader of the log that blocks the scheduler or makes the buffered lines grow without limit.
func TestLogNeverWaitsForItsReader(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe() // Nobody reads.
	log, closer := newPlatformLog(writer, "node-1")
	const lines = 200_000
	text := strings.Repeat("x", 200)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := time.Now()
	for range lines {
		log.Info().Str("text", text).Msg("chief: run ordered")
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", 20*time.Second))
	runtime.GC()
	runtime.ReadMemStats(&after)
	g.Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", int64(logBufferLines*1024)))
	g.Expect(reader.Close()).To(Succeed())
	g.Expect(closer.Close()).To(Succeed())
}
