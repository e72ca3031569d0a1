package intake_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/memnet"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
	"peridotgw.example/peridotgw/platform"
	"peridotgw.example/peridotgw/platform/fakepl"
)

// Guards against a wrong HTTP status for each kind of call and refusal, and against a 503 without Retry-After.
func TestJobAPIStatusCodes(t *testing.T) {
	config := &work.Config{
		Version: 1, MaxBodyBytes: 4096,
		Queues:  []work.Queue{{Name: "check", Host: "a.example", Prefix: "/check/"}, {Name: "open", Host: "a.example", Prefix: "/check/open/", Anonymous: true}},
		Tenants: map[model.CustomerID]work.Tenant{"big": {Name: "big", Keys: []string{"key-1"}}},
	}
	config.Index()
	body := `{"spec":"x","steps":[{"count":1,"cpu":500}]}`
	for _, c := range []struct {
		name, method, path, key, body string
		noConfig                      bool
		want                          int
	}{
		{name: "submission", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: body, want: 200},
		{name: "unknown key", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-2", body: body, want: 401},
		{name: "no key on an open queue", method: http.MethodPost, path: "/check/open/00000000000000a1", body: body, want: 200},
		{name: "unknown queue", method: http.MethodPost, path: "/other/00000000000000a1", key: "key-1", body: body, want: 404},
		{name: "malformed id", method: http.MethodPost, path: "/check/xyz", key: "key-1", body: body, want: 404},
		{name: "malformed body", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: "{", want: 400},
		{name: "no steps", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: `{"spec":"x"}`, want: 400},
		{name: "body too large", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: string(make([]byte, 5000)), want: 413},
		{name: "no configuration yet", method: http.MethodPost, path: "/check/00000000000000a1", key: "key-1", body: body, noConfig: true, want: 503},
		{name: "state of an unknown job", method: http.MethodGet, path: "/check/00000000000000b1", key: "key-1", want: 410},
		{name: "cancel of an unknown job", method: http.MethodDelete, path: "/check/00000000000000b1", key: "key-1", want: 410},
		{name: "count of a queue", method: http.MethodGet, path: "/check/", key: "key-1", want: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				jobAPI := &platform.JobAPI{
					Log: zerolog.Nop(), Jobs: newService(fakepl.NewStore()), Closing: func() bool { return false },
					Observe: func(string, int, time.Duration) {},
					Config: func() *work.Config {
						if c.noConfig {
							return nil
						}
						return config
					},
				}
				net := memnet.New()
				net.SetHandler("a.example", jobAPI)
				req, err := http.NewRequestWithContext(t.Context(), c.method, "http://a.example"+c.path, bodyOf(c.body))
				g.Expect(err).NotTo(HaveOccurred())
				if c.key != "" {
					req.Header.Set("Authorization", "Bearer "+c.key)
				}
				res, err := net.Client("caller").Do(req)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(res.StatusCode).To(Equal(c.want))
				g.Expect(res.Body.Close()).To(Succeed())
				if c.want == http.StatusServiceUnavailable {
					g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
				}
			})
		})
	}
}
