// Command peridotctl publishes the configuration of peridotgw, reads its state and manages jobs for operators.
//
// Exit codes: 0 done, 1 usage or input, 2 refused (nothing was changed), 3 conflict, 4 failed, 5 unknown, 6 unreachable, 7 findings
// of a check that are no errors.
package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"peridotgw.example/peridotgw/internal/place"
	"peridotgw.example/peridotgw/model"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{
		out: os.Stdout, err: os.Stderr, getenv: os.Getenv,
		validate: validate,
	}
	code := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(int(code))
}

// validate runs the checks that a publication runs. Guarantees can be bound only in a set that is otherwise valid.
func validate(set *model.Set) []model.Problem {
	if problems := model.Validate(set); len(problems) > 0 {
		return problems
	}
	return place.Check(set)
}

// app holds what all commands share.
type app struct {
	out, err io.Writer
	getenv   func(string) string
	validate func(*model.Set) []model.Problem
	// code is the exit code of the command; it stays exitUsage if no command ran.
	code exitCode
	// lostOutput is true when a line to standard error could not be written.
	lostOutput bool
}

func (a *app) run(ctx context.Context, args []string) exitCode {
	top := flag.NewFlagSet("peridotctl", flag.ContinueOnError)
	top.SetOutput(a.err)
	commander := subcommands.NewCommander(top, "peridotctl")
	commander.Output, commander.Error = a.out, a.err
	commander.Register(commander.HelpCommand(), "help")
	for group, commands := range a.commands() {
		for _, c := range commands {
			commander.Register(c, group)
		}
	}
	if err := top.Parse(args); err != nil {
		return exitUsage
	}
	a.code = exitUsage
	// The library's own exit statuses have other meanings; help is the only command of the library that can succeed.
	if status := commander.Execute(ctx); status == subcommands.ExitSuccess && top.Arg(0) == "help" {
		return exitDone
	}
	if a.code == exitDone && a.lostOutput {
		return exitFailed
	}
	return a.code
}

func (a *app) commands() map[string][]subcommands.Command {
	return map[string][]subcommands.Command{
		"configuration": {a.validateCommand(), a.checkCommand(), a.publishCommand(), a.withdrawCommand(), a.getCommand(), a.diffCommand()},
		"operation":     {a.serviceCommand("out"), a.serviceCommand("in"), a.statusCommand(), a.leavingCommand(), a.explainCommand(), a.platformCommand()},
		"jobs":          {a.submitCommand(), a.cancelCommand(), a.jobsCommand()},
	}
}
