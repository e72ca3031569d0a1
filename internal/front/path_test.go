package front_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/reply"
)

var _ = Describe("path", func() {
	It("returns the endpoint's whole answer; guards against a break anywhere between caller and endpoint", func() {
		p := newPath(GinkgoTB(), 2)
		answer, err := http.DefaultClient.Do(p.request("check", "r-1", "score 7"))
		Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("answer to r-1: score 7"))
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(answer.Header.Get(reply.HeaderOutcome)).To(Equal("done"))
		Expect(answer.Header.Get(reply.HeaderRequestID)).To(Equal("r-1"))
		Expect(answer.Header.Get(reply.HeaderInstance)).To(Equal("a"))
		Expect(answer.Header.Get(reply.HeaderAttempts)).To(Equal("1"))
	})
})
