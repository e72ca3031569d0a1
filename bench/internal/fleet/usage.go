package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is the resource usage of one process since its start.
type usage struct {
	at time.Time
	// cpuTime is the user and system time.
	cpuTime       time.Duration
	residentBytes float64
	// read and written are the bytes of all reads and writes; an idle instance reads and writes only its connections.
	read, written float64
	// storeCalls counts calls by role and operation, peerBytes counts bytes by direction.
	storeCalls map[string]float64
	peerBytes  map[string]float64
}

// ticksPerSecond is the number of clock ticks per second in the processor times of /proc on Linux.
const ticksPerSecond = 100

// readUsage reads the usage of a running instance from /proc and from its metrics listener.
func readUsage(ctx context.Context, client *http.Client, p *process) (usage, error) {
	u := usage{at: time.Now()}
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, fmt.Errorf("reading the resource usage of %s: %w", p.name, err)
	}
	if u.cpuTime, u.residentBytes, err = parseStat(string(stat)); err != nil {
		return u, fmt.Errorf("reading the resource usage of %s: %w", p.name, err)
	}
	counters, err := os.ReadFile(folder + "io")
	if err != nil {
		return u, fmt.Errorf("reading the resource usage of %s: %w", p.name, err)
	}
	u.read, u.written = parseIO(string(counters))
	text, err := get(ctx, client, "http://"+p.ready["metrics"]+"/metrics")
	if err != nil {
		return u, err
	}
	u.storeCalls = sumBy(text, "peridot_store_calls_total", "role", "op")
	u.peerBytes = sumBy(text, "peridot_peer_bytes_total", "direction")
	return u, nil
}

// parseStat returns the user and system time, and the resident memory in bytes, from the stat file of a process. The
// command name in parentheses may contain spaces and parentheses.
func parseStat(stat string) (cpuTime time.Duration, residentBytes float64, err error) {
	end := strings.LastIndex(stat, ")")
	fields := strings.Fields(stat[end+1:])
	// Fields 14, 15 and 24 of the line have the indexes 11, 12 and 21 after the name.
	if end < 0 || len(fields) < 22 {
		return 0, 0, fmt.Errorf("line %q has too few fields", stat)
	}
	user, userErr := strconv.ParseInt(fields[11], 10, 64)
	system, systemErr := strconv.ParseInt(fields[12], 10, 64)
	pages, pagesErr := strconv.ParseInt(fields[21], 10, 64)
	if err := errors.Join(userErr, systemErr, pagesErr); err != nil {
		return 0, 0, fmt.Errorf("line %q: %w", stat, err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, float64(pages) * float64(os.Getpagesize()), nil
}

// parseIO returns the bytes that a process has read and written, from its io file in /proc.
func parseIO(text string) (read, written float64) {
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "rchar":
			read = number
		case "wchar":
			written = number
		}
	}
	return read, written
}

// sumBy adds up the samples of a metric in the Prometheus text format, grouped by the values of the given labels.
func sumBy(text, metric string, labels ...string) map[string]float64 {
	sums := map[string]float64{}
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), metric+"{")
		if !found {
			continue
		}
		pairs, value, _ := strings.Cut(rest, "} ")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		var key []string
		for _, label := range labels {
			for pair := range strings.SplitSeq(pairs, ",") {
				if name, quoted, _ := strings.Cut(pair, "="); name == label {
					key = append(key, strings.Trim(quoted, `"`))
				}
			}
		}
		sums[strings.Join(key, " ")] += number
	}
	return sums
}

// get returns the body of a GET request; a status other than 200 is an error.
func get(ctx context.Context, client *http.Client, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("reading %s: %w", url, err)
	}
	res, err := client.Do(req)
	if err != nil {
		return "", fmt.Errorf("reading %s: %w", url, err)
	}
	var body bytes.Buffer
	_, err = io.Copy(&body, res.Body)
	if err = errors.Join(err, res.Body.Close()); err != nil {
		return "", fmt.Errorf("reading %s: %w", url, err)
	}
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("reading %s: status %d", url, res.StatusCode)
	}
	return body.String(), nil
}
