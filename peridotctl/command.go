package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"peridotgw.example/peridotgw/client"
)

// command is one subcommand; the error that run returns determines the exit code.
type command struct {
	app      *app
	name     string
	synopsis string
	// args names the arguments after the flags.
	args string
	// help describes the command in full, and example shows it in use.
	help, example string
	// offline commands have no flags for the connection.
	offline bool
	// mayConnect commands connect only if -address is given.
	mayConnect bool
	flags      func(*flag.FlagSet)
	run        func(ctx context.Context, s *session, args []string) error
}

// session is one run of a command, with its output format and its connection.
type session struct {
	*app
	format    string
	addresses string
	tokenFile string
	timeout   time.Duration
	operator  *client.Operator
}

// Environment variables with the defaults of flags.
const (
	envAddress   = "PERIDOT_ADDRESS"
	envTokenFile = "PERIDOT_TOKEN_FILE" //nolint:gosec // The name of a variable, not a secret.
)

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags] %s\n\n%s\n\nExample:\n    %s\n\nFlags:\n",
		c.name, c.args, c.help, strings.ReplaceAll(c.example, "\n", "\n    "))
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.String("o", "table", "output format: table or json")
	if !c.offline {
		f.String("address", c.app.getenv(envAddress), "base `URLs` of operator listeners, comma separated, tried in order; default from "+envAddress)
		f.String("token-file", c.app.getenv(envTokenFile), "`file` that holds the operator's token; default from "+envTokenFile)
		f.Duration("timeout", client.DefaultTimeout, "time limit of each call")
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.execute(ctx, f)
	c.app.code = exitCodeOf(err)
	if err != nil {
		c.app.printError(f.Lookup("o").Value.String(), err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) execute(ctx context.Context, f *flag.FlagSet) error {
	for _, arg := range f.Args() {
		if strings.HasPrefix(arg, "-") {
			return usageErrorf("flags come before arguments: %q", arg)
		}
	}
	s := &session{app: c.app, format: f.Lookup("o").Value.String()}
	if s.format != "table" && s.format != "json" {
		return usageErrorf("-o %s is not a format; use table or json", s.format)
	}
	if c.offline {
		return c.run(ctx, s, f.Args())
	}
	s.addresses = f.Lookup("address").Value.String()
	if c.mayConnect && s.addresses == "" {
		return c.run(ctx, s, f.Args())
	}
	s.tokenFile = f.Lookup("token-file").Value.String()
	s.timeout = f.Lookup("timeout").Value.(flag.Getter).Get().(time.Duration)
	closeIdle, err := s.connect()
	if err != nil {
		return err
	}
	defer closeIdle()
	return c.run(ctx, s, f.Args())
}

// connect creates the operator's client from the flags and returns a function that closes idle connections. It sends nothing.
func (s *session) connect() (func(), error) {
	if s.addresses == "" {
		return nil, usageErrorf("-address or %s is required", envAddress)
	}
	if s.tokenFile == "" {
		return nil, usageErrorf("-token-file or %s is required", envTokenFile)
	}
	token, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return nil, usageErrorf("reading token: %v", err)
	}
	if strings.TrimSpace(string(token)) == "" {
		return nil, usageErrorf("token file %s is empty", s.tokenFile)
	}
	var addresses []string
	for address := range strings.SplitSeq(s.addresses, ",") {
		address = strings.TrimSpace(address)
		if !strings.HasPrefix(address, "http://") && !strings.HasPrefix(address, "https://") {
			return nil, usageErrorf("address %q does not start with http:// or https://", address)
		}
		addresses = append(addresses, address)
	}
	operator, closeIdle := client.NewOperator(addresses, strings.TrimSpace(string(token)))
	operator.Target.Timeout = s.timeout
	s.operator = operator
	return closeIdle, nil
}

// checkArgCount checks the number of arguments; a negative maxArgs means any number. want describes what is expected.
func checkArgCount(args []string, minArgs, maxArgs int, want string) error {
	if len(args) < minArgs || (maxArgs >= 0 && len(args) > maxArgs) {
		return usageErrorf("%s expected, got %d arguments", want, len(args))
	}
	return nil
}
