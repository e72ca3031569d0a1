package params

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/model"
)

// checker reports the problems of decoded settings to document; a field that did not decode is not reported twice.
// Methods named after a part of the settings, or after a kind of value, check it.
type checker struct {
	settings *Settings
	document *jsonc.Document
}

func (c *checker) checkAll() {
	c.names()
	c.addresses()
	c.services()
	c.operators()
	c.log()
	c.limits()
	c.bounds()
}

func (c *checker) names() {
	c.name("instance", string(c.settings.Instance))
	c.name("data-centre", string(c.settings.DataCentre))
}

// name checks that value is not empty and can be part of a store key and of a URL path without escapes.
func (c *checker) name(field, value string) {
	if value == "" {
		c.reportMissing(field)
		return
	}
	if !regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`).MatchString(value) {
		c.document.Report(field, "%q is not a name: use 1 to 63 lower-case letters, digits, dots and hyphens, and start with a letter or digit",
			value)
	}
}

// reportMissing reports a required field as missing, unless a problem with its value was reported already.
func (c *checker) reportMissing(field string) {
	if !c.document.Reported(field) {
		c.document.Report(field, "the field is required")
	}
}

// addresses checks that each address is valid, that listeners differ, and that others can reach the instance.
func (c *checker) addresses() {
	listen, advertise := c.settings.Listen, c.settings.Advertise
	listeners := []struct{ field, address string }{
		{"listen.callers", listen.Callers},
		{"listen.operators", listen.Operators},
		{"listen.peers", listen.Peers},
		{"listen.metrics", listen.Metrics},
	}
	seen := map[netip.AddrPort]string{}
	for _, listener := range listeners {
		address, ok := c.address(listener.field, listener.address)
		if !ok || address.Port() == 0 {
			continue
		}
		if other, found := seen[address]; found {
			c.document.Report(listener.field, "%s is the address of %s as well", listener.address, other)
		}
		seen[address] = listener.field
	}
	c.advertised("callers", listen.Callers, advertise.Callers)
	c.advertised("peers", listen.Peers, advertise.Peers)
	if advertise.Callers != "" && advertise.Callers == advertise.Peers {
		c.document.Report("advertise.peers", "%s is the address of advertise.callers as well", advertise.Peers)
	}
}

// address parses an IP address with a port, and reports false after it has reported a problem.
func (c *checker) address(field, text string) (netip.AddrPort, bool) {
	if text == "" {
		c.reportMissing(field)
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.document.Report(field, "%q is not an IP address with a port, such as \"10.0.0.7:7100\"", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

// advertised checks that peers or callers can reach a listener at its advertised address, or else at its listen address.
func (c *checker) advertised(name, listenText, text string) {
	field := "advertise." + name
	listen, err := netip.ParseAddrPort(listenText)
	if text == "" {
		if err == nil && listen.Addr().IsUnspecified() {
			c.document.Report("listen."+name, "others cannot reach %s: set %s or listen on one IP address", listenText, field)
		}
		return
	}
	address, ok := c.address(field, text)
	switch {
	case !ok:
	case address.Addr().IsUnspecified() || address.Port() == 0:
		c.document.Report(field, "%s cannot be reached by others: name one IP address and a port", text)
	case err == nil && listen.Port() == 0:
		c.document.Report(field, "leave the field out when the kernel chooses the port of listen.%s", name)
	}
}

func (c *checker) services() {
	c.url("store.url", c.settings.Store.URL)
	c.url("vm-list.url", c.settings.VMList.URL)
	c.duration("store.timeout", c.settings.Store.Timeout, 10*time.Millisecond, 10*time.Second)
	c.duration("vm-list.every", c.settings.VMList.PollInterval, 100*time.Millisecond, 5*time.Minute)
}

// url checks that text is a base URL with an IP address, because host names are not looked up.
func (c *checker) url(field, text string) {
	if text == "" {
		c.reportMissing(field)
		return
	}
	parsed, err := url.Parse(text)
	switch {
	case err != nil:
		c.document.Report(field, "%v", err)
	case parsed.Scheme != "http" && parsed.Scheme != "https":
		c.document.Report(field, "%q does not start with http:// or https://", text)
	case parsed.Hostname() == "":
		c.document.Report(field, "%q names no host", text)
	case parsed.RawQuery != "" || parsed.Fragment != "":
		c.document.Report(field, "%q has a query or fragment; give the base URL only", text)
	case notIP(parsed.Hostname()):
		c.document.Report(field, "%q is not an IP address; host names are not looked up", parsed.Hostname())
	}
}

// notIP reports whether host is not an IP address literal.
func notIP(host string) bool {
	_, err := netip.ParseAddr(host)
	return err != nil
}

// operators checks that there is an operator, and that names and tokens are valid and unique.
func (c *checker) operators() {
	if len(c.settings.OperatorTokens) == 0 {
		c.reportMissing("operators")
	}
	names, tokens := map[string]int{}, map[string]int{}
	for i, operator := range c.settings.OperatorTokens {
		field := fmt.Sprintf("operators[%d]", i)
		c.name(field+".name", operator.Name)
		if other, found := names[operator.Name]; found && operator.Name != "" {
			c.document.Report(field+".name", "%q is the name of operators[%d] as well", operator.Name, other)
		}
		names[operator.Name] = i
		if !regexp.MustCompile(`^[!-~]{16,256}$`).MatchString(operator.Token) {
			// The message must not contain the token, because it is printed and logged.
			c.document.Report(field+".token", "a token of 16 to 256 printable ASCII characters without spaces is required")
			continue
		}
		if other, found := tokens[operator.Token]; found {
			c.document.Report(field+".token", "operators[%d] has the same token", other)
		}
		tokens[operator.Token] = i
	}
}

func (c *checker) log() {
	levels := []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}
	if !slices.ContainsFunc(levels, func(level zerolog.Level) bool { return level.String() == c.settings.Log.Level }) {
		c.document.Report("log.level", "%q is not a level; use debug, info, warn or error", c.settings.Log.Level)
	}
	switch c.settings.Log.Format {
	case LogFormatJSON, LogFormatConsole:
	default:
		c.document.Report("log.format", "%q is not a format; use json or console", c.settings.Log.Format)
	}
}

// limits checks each range, and that a graceful stop is long enough for the longest request.
func (c *checker) limits() {
	limits := c.settings.Limits
	if limits.BodyBytes < 1 || limits.BodyBytes > maxBodyBytes {
		c.document.Report("limits.body-bytes", "%d is not between 1 and %d", limits.BodyBytes, maxBodyBytes)
	}
	if limits.HeaderBytes < 1024 || limits.HeaderBytes > maxBodyBytes {
		c.document.Report("limits.header-bytes", "%d is not between 1024 and %d", limits.HeaderBytes, maxBodyBytes)
	}
	c.duration("limits.header-timeout", limits.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.duration("limits.body-timeout", limits.BodyTimeout, 100*time.Millisecond, time.Minute)
	c.duration("limits.idle-timeout", limits.IdleTimeout, time.Second, time.Hour)
	c.duration("limits.stop-timeout", limits.StopTimeout, time.Second, 10*time.Minute)
	c.duration("limits.balancer-delay", limits.BalancerDelay, 0, time.Minute)
	if limits.BodyTimeout < limits.HeaderTimeout {
		c.document.Report("limits.body-timeout",
			"%s is less than limits.header-timeout (%s), which it includes", limits.BodyTimeout, limits.HeaderTimeout)
	}
	required := limits.BalancerDelay + model.Duration(MaxRequestTimeout+time.Second)
	if limits.StopTimeout < required {
		c.document.Report("limits.stop-timeout",
			"%s cuts off requests: limits.balancer-delay (%s), the longest request (%s) and 1s to hand over need %s",
			limits.StopTimeout, limits.BalancerDelay, MaxRequestTimeout, required)
	}
}

// bounds checks each range, and that each timeout outlasts the repetitions that renew it.
func (c *checker) bounds() {
	b, timeout := c.settings.Bounds, c.settings.Store.Timeout
	const minDuration = 10 * time.Millisecond
	c.duration("bounds.confirmation", b.ConfirmationTTL, minDuration, maxConfirmation.Std())
	c.duration("bounds.head-read", b.HeadReadInterval, minDuration, maxConfirmation.Std())
	c.duration("bounds.exchange", b.ExchangeInterval, minDuration, maxConfirmation.Std())
	c.duration("bounds.silence", b.SilenceTimeout, minDuration, maxConfirmation.Std())
	c.duration("bounds.lease", b.Lease, minDuration, time.Minute)
	c.duration("bounds.lease-renew", b.LeaseRenewInterval, minDuration, time.Minute)
	c.duration("bounds.worker-lease", b.WorkerLease, minDuration, maxWorkerLease.Std())
	c.duration("bounds.worker-renew", b.WorkerRenewInterval, minDuration, maxWorkerLease.Std())
	c.duration("bounds.reservation", b.Reservation, minDuration, time.Minute)
	c.duration("bounds.reservation-margin", b.ReservationMargin, minDuration, time.Minute)

	c.atLeast("bounds.lease", b.Lease, 2*b.LeaseRenewInterval+timeout,
		"two of bounds.lease-renew and store.timeout, to outlast one lost renewal")
	c.atLeast("bounds.confirmation", b.ConfirmationTTL, 2*b.HeadReadInterval, "two of bounds.head-read, to outlast one slow read")
	c.atLeast("bounds.confirmation", b.ConfirmationTTL, 2*b.LeaseRenewInterval,
		"two of bounds.lease-renew, which proves that a read is current")
	c.atLeast("bounds.silence", b.SilenceTimeout, 3*b.ExchangeInterval, "three of bounds.exchange, to outlast two lost messages")
	c.atLeast("bounds.worker-lease", b.WorkerLease, 3*b.WorkerRenewInterval, "three of bounds.worker-renew, to outlast two lost renewals")
	c.atLeast("bounds.reservation", b.Reservation, b.ReservationMargin+timeout,
		"bounds.reservation-margin and store.timeout, or no start is ever recorded")
	c.atLeast("bounds.reservation-margin", b.ReservationMargin, 2*timeout, "two of store.timeout, to write the record and read it back")
}

// duration reports a value outside the range, whose limits are allowed.
func (c *checker) duration(field string, value model.Duration, minimum, maximum time.Duration) {
	if value.Std() < minimum || value.Std() > maximum {
		c.document.Report(field, "%s is not between %s and %s", value, minimum, maximum)
	}
}

// atLeast reports a value below minimum; reason names what minimum consists of, and why where the settings do not show it.
func (c *checker) atLeast(field string, value, minimum model.Duration, reason string) {
	if value < minimum {
		c.document.Report(field, "%s is less than %s (%s)", value, minimum, reason)
	}
}
