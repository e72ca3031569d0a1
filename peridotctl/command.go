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

// command is one subcommand; run returns an error that decides the exit code.
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
	flags   func(*flag.FlagSet)
	run     func(ctx context.Context, s *session, args []string) error
}

// session is one run of a command: its output format and its connection.
type session struct {
	*app
	format    string
	addresses string
	tokenFile string
	timeout   time.Duration
	operator  *client.Operator
}

// Environment variables that stand in for flags.
const (
	envAddress   = "PERIDOT_ADDRESS"
	envTokenFile = "PERIDOT_TOKEN_FILE" //nolint:gosec // The name of a variable, not a secret.
)

// Name is part of subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis is part of subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage is part of subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("%s [flags] %s\n\n%s\n\nExample:\n    %s\n\nFlags:\n",
		c.name, c.args, c.help, strings.ReplaceAll(c.example, "\n", "\n    "))
}

// SetFlags is part of subcommands.Command.
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

// Execute is part of subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.execute(ctx, f)
	c.app.code = codeOf(err)
	if err != nil {
		c.app.printError(f.Lookup("o").Value.String(), err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *command) execute(ctx context.Context, f *flag.FlagSet) error {
	for _, arg := range f.Args() {
		if strings.HasPrefix(arg, "-") {
			return usage("flags come before arguments: %q", arg)
		}
	}
	s := &session{app: c.app, format: f.Lookup("o").Value.String()}
	if s.format != "table" && s.format != "json" {
		return usage("-o %s is not a format; use table or json", s.format)
	}
	if c.offline {
		return c.run(ctx, s, f.Args())
	}
	s.addresses = f.Lookup("address").Value.String()
	s.tokenFile = f.Lookup("token-file").Value.String()
	s.timeout = f.Lookup("timeout").Value.(flag.Getter).Get().(time.Duration)
	closeIdle, err := s.connect()
	if err != nil {
		return err
	}
	defer closeIdle()
	return c.run(ctx, s, f.Args())
}

// connect prepares the operator's client; nothing is sent yet.
func (s *session) connect() (func(), error) {
	if s.addresses == "" {
		return nil, usage("-address or %s is required", envAddress)
	}
	if s.tokenFile == "" {
		return nil, usage("-token-file or %s is required", envTokenFile)
	}
	token, err := os.ReadFile(s.tokenFile)
	if err != nil {
		return nil, usage("reading token: %v", err)
	}
	if strings.TrimSpace(string(token)) == "" {
		return nil, usage("token file %s is empty", s.tokenFile)
	}
	var addresses []string
	for address := range strings.SplitSeq(s.addresses, ",") {
		address = strings.TrimSpace(address)
		if !strings.HasPrefix(address, "http://") && !strings.HasPrefix(address, "https://") {
			return nil, usage("address %q does not start with http:// or https://", address)
		}
		addresses = append(addresses, address)
	}
	operator, closeIdle := client.NewOperator(addresses, strings.TrimSpace(string(token)))
	operator.Target.Timeout = s.timeout
	s.operator = operator
	return closeIdle, nil
}

// count checks the number of arguments; most below 0 means any number.
func count(args []string, least, most int, want string) error {
	if len(args) < least || (most >= 0 && len(args) > most) {
		return usage("%s expected, got %d arguments", want, len(args))
	}
	return nil
}
