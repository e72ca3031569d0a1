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

// account is what one process used until now.
type account struct {
	at        time.Time
	processor time.Duration
	resident  float64
	// read and written are the bytes of all its reads and writes, which for an idle instance are those of its connections.
	read, written float64
	// storeCalls is by role and operation, peerBytes by direction.
	storeCalls map[string]float64
	peerBytes  map[string]float64
}

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

func readAccount(ctx context.Context, client *http.Client, p *process) (account, error) {
	a := account{at: time.Now()}
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return a, fmt.Errorf("reading the account of %s: %w", p.name, err)
	}
	if a.processor, a.resident, err = parseStat(string(stat)); err != nil {
		return a, fmt.Errorf("reading the account of %s: %w", p.name, err)
	}
	count, err := os.ReadFile(folder + "io")
	if err != nil {
		return a, fmt.Errorf("reading the account of %s: %w", p.name, err)
	}
	a.read, a.written = parseIO(string(count))
	text, err := get(ctx, client, "http://"+p.ready["metrics"]+"/metrics")
	if err != nil {
		return a, err
	}
	a.storeCalls = sumBy(text, "peridot_store_calls_total", "role", "op")
	a.peerBytes = sumBy(text, "peridot_peer_bytes_total", "direction")
	return a, nil
}

// parseStat reads user and system time and the resident memory in bytes; the name in parentheses may hold spaces.
func parseStat(stat string) (processor time.Duration, resident float64, err error) {
	end := strings.LastIndex(stat, ")")
	fields := strings.Fields(stat[end+1:])
	// Fields 14, 15 and 24 of the line are 11, 12 and 21 after the name.
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

// sumBy adds up the samples of a metric in the text format by the values of some of its labels.
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
