package params_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/params"
	"peridotgw.example/peridotgw/model"
)

const validText = `{
	// Comments and trailing commas are allowed.
	"instance": "entry-1",
	"data-centre": "library",
	"listen": {
		"callers": "10.0.0.7:7100",
		"operators": "10.0.0.7:7101",
		"peers": "10.0.0.7:7102",
		"metrics": "10.0.0.7:7103",
	},
	"store": {"url": "http://10.0.0.5:2379"},
	"vm-list": {"url": "http://10.0.0.6:8090", "every": "1s"},
	"operators": [{"name": "maria", "token": "0123456789abcdef"}],
}`

var _ = Describe("settings", func() {
	// Guards against a default that differs from the documented one, and against a setting that is overwritten by its default.
	It("fills in the documented defaults and keeps what is set", func() {
		settings, err := params.Parse("s.jsonc", []byte(validText))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Limits.StopTimeout.Std()).To(Equal(35 * time.Second))
		Expect(settings.Bounds).To(Equal(params.Default().Bounds))
		Expect(settings.VMList.PollInterval.Std()).To(Equal(time.Second))
		Expect(settings.Tokens()).To(Equal(map[string]string{"0123456789abcdef": "maria"}))
	})

	// Guards against messages and leases of an earlier process that count as those of the current one.
	It("generates another incarnation for each process, so that a restart differs from its predecessor", func() {
		seen := map[model.Incarnation]bool{}
		for range 3 {
			settings, err := params.Parse("s.jsonc", []byte(validText))
			Expect(err).NotTo(HaveOccurred())
			seen[settings.Incarnation] = true
		}
		Expect(seen).To(HaveLen(3))
	})

	// Guards against an error that leaves open which file is missing.
	It("names the path of a file that cannot be read", func() {
		_, err := params.Load(filepath.Join(GinkgoT().TempDir(), "none.jsonc"))
		Expect(err).To(MatchError(os.ErrNotExist))
		Expect(err.Error()).To(ContainSubstring("none.jsonc"))
	})

	// Guards against mistakes that would otherwise show only while the instance runs, or never.
	DescribeTable("refuses one wrong field, with its position",
		func(from, to string, line int, field, message string) {
			Expect(strings.Count(validText, from)).To(Equal(1))
			_, err := params.Parse("s.jsonc", []byte(strings.Replace(validText, from, to, 1)))
			var problems *params.Error
			Expect(errors.As(err, &problems)).To(BeTrue(), "%v", err)
			Expect(problems.Problems).To(HaveLen(1), "%v", err)
			Expect(problems.Problems[0].Line).To(Equal(line))
			Expect(problems.Problems[0].Column).To(BeNumerically(">", 0))
			Expect(problems.Problems[0].Field).To(Equal(field))
			Expect(problems.Problems[0].Message).To(ContainSubstring(message))
		},
		Entry("syntax", `"data-centre":`, `"data-centre"`, 4, "", "invalid character"),
		Entry("misspelled field", `"store"`, `"store": {"url": "http://10.0.0.5:1"}, "stores"`, 11, "stores", "does not exist"),
		Entry("misspelled nested field", `, "every"`, `, "evry"`, 12, "vm-list.evry", "known fields are every, url"),
		Entry("field given twice", `"instance": "entry-1"`, `"instance": "entry-1", "instance": "entry-2"`, 3, "instance", "twice"),
		Entry("duration without a unit", `"1s"`, `1`, 12, "vm-list.every", "not a string with a unit"),
		Entry("wrong type", `"entry-1"`, `1`, 3, "instance", "a string is expected, not 1"),
		Entry("null", `"entry-1"`, `null`, 3, "instance", "null"),
		Entry("missing required field", `"instance": "entry-1",`, ``, 1, "instance", "required"),
		Entry("missing nested field", `"peers": "10.0.0.7:7102",`, ``, 5, "listen.peers", "required"),
		Entry("name that does not fit a store key", `entry-1`, `entry/1`, 3, "instance", "not a name"),
		Entry("host name as listen address", `10.0.0.7:7100`, `localhost:7100`, 6, "listen.callers", "not an IP address"),
		Entry("one address for two listeners", `7101`, `7100`, 7, "listen.operators", "listen.callers as well"),
		Entry("listener on all addresses that peers cannot find", `10.0.0.7:7102`, `0.0.0.0:7102`, 8, "listen.peers", "set advertise.peers"),
		Entry("store without scheme", `http://10.0.0.5:2379`, `10.0.0.5:2379`, 11, "store.url", "first path segment"),
		Entry("host name in a URL", `http://10.0.0.5:2379`, `http://store:2379`, 11, "store.url", "not an IP address"),
		Entry("short token", `0123456789abcdef`, `0123`, 13, "operators[0].token", "16 to 256"),
		Entry("no operators", `{"name": "maria", "token": "0123456789abcdef"}`, ``, 13, "operators", "required"),
		Entry("stop that cuts off requests",
			`"vm-list"`, `"limits": {"stop-timeout": "20s"}, "vm-list"`, 12, "limits.stop-timeout", "need 33s"),
		Entry("confirmation longer than promised",
			`"vm-list"`, `"bounds": {"confirmation": "9s"}, "vm-list"`, 12, "bounds.confirmation", "between"),
		Entry("lease that one lost renewal ends",
			`"vm-list"`, `"bounds": {"lease": "4s"}, "vm-list"`, 12, "bounds.lease", "outlast one lost renewal"),
		Entry("unknown log level", `"vm-list"`, `"log": {"level": "loud"}, "vm-list"`, 12, "log.level", "not a level"),
	)

	// Guards against a check that stops at the first problem.
	It("reports every problem at once, in the order of the file", func() {
		_, err := params.Parse("s.jsonc", []byte("{\n\"instance\": \"A\",\n\"listen\": {\"callers\": \"x\"},\n\"what\": 1\n}"))
		var problems *params.Error
		Expect(errors.As(err, &problems)).To(BeTrue())
		var lines []int
		for _, problem := range problems.Problems {
			lines = append(lines, problem.Line)
		}
		Expect(len(lines)).To(BeNumerically(">=", 8))
		Expect(lines).To(ContainElements(2, 3, 4))
		for i := 1; i < len(lines); i++ {
			Expect(lines[i]).To(BeNumerically(">=", lines[i-1]))
		}
	})

	// Guards against a secret in the log.
	It("does not print tokens, because errors are logged", func() {
		_, err := params.Parse("s.jsonc", []byte(strings.Replace(validText, "0123456789abcdef", "secret word", 1)))
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).NotTo(ContainSubstring("secret"))
	})
})
