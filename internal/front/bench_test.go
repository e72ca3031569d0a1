package front_test

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"peridotgw.example/peridotgw/reply"
)

// BenchmarkHop compares a call through front, queue, route and relay with the same call sent directly to the endpoint.
func BenchmarkHop(b *testing.B) {
	gw := newGateway(4, nil, "a")
	defer gw.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}
	endpoint := "http://" + gw.addresses[0]
	b.Run("direct", func(b *testing.B) { measureCalls(b, client, endpoint+"/v1/run/check") })
	b.Run("relayed", func(b *testing.B) { measureCalls(b, client, gw.url+"/v1/requests/check") })
}

func measureCalls(b *testing.B, client *http.Client, url string) {
	body := bytes.Repeat([]byte("x"), 1024)
	times := make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set(reply.HeaderCustomer, "hollow-creek")
		request.Header.Set(reply.HeaderRequestID, "r-"+strconv.Itoa(i))
		started := time.Now()
		answer, err := client.Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusOK {
			b.Fatal(answer.Status, err)
		}
		if err := answer.Body.Close(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkCallers measures 24 concurrent callers on 4 endpoints with 8 slots each.
func BenchmarkCallers(b *testing.B) {
	gw := newGateway(4, nil, "a")
	defer gw.close()
	gw.client.Transport = &http.Transport{MaxIdleConnsPerHost: 32}
	inFlight := make(chan struct{}, 24)
	var failed atomic.Int64
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		inFlight <- struct{}{}
		go func() {
			defer func() { <-inFlight }()
			id := "r-" + strconv.Itoa(i)
			if got, err := gw.send(gw.request("check", id, "x")); err != nil || got.body != "answer to "+id+": x" {
				failed.Add(1)
			}
		}()
	}
	for range cap(inFlight) {
		inFlight <- struct{}{}
	}
	b.ReportMetric(float64(failed.Load()), "not-done")
}
