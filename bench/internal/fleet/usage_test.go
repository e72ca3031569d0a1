package fleet

import (
	"os"
	"testing"
	"time"
)

// Guards against reading values from the wrong field or label.
func TestParse(t *testing.T) {
	stat := "42 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9 0 77 1000 25 1844"
	cpuTime, residentBytes, err := parseStat(stat)
	if err != nil || cpuTime != 2*time.Second || residentBytes != 25*float64(os.Getpagesize()) {
		t.Errorf("stat gives %v, %v, %v, want 2s and 25 pages", cpuTime, residentBytes, err)
	}
	if _, _, err := parseStat(stat[:20]); err == nil {
		t.Error("a short line is accepted")
	}
	if read, written := parseIO("rchar: 100\nwchar: 7\nsyscr: 9\n"); read != 100 || written != 7 {
		t.Errorf("io gives %v and %v, want 100 and 7", read, written)
	}
	text := "# HELP x\nx_total{op=\"get\",result=\"ok\",role=\"config\"} 2\nx_total{op=\"get\",result=\"lost\",role=\"config\"} 3\nx_total{op=\"put\",result=\"ok\",role=\"claim\"} 1e+03\nxx_total{op=\"get\"} 9\n"
	sums := sumBy(text, "x_total", "role", "op")
	if len(sums) != 2 || sums["config get"] != 5 || sums["claim put"] != 1000 {
		t.Errorf("sums are %v, want 5 for config get and 1000 for claim put", sums)
	}
	if ready := parseReady("ready store=http://127.0.0.1:1 control=x"); ready["store"] != "http://127.0.0.1:1" || ready["control"] != "x" {
		t.Errorf("ready line gives %v", ready)
	}
}
