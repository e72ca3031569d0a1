// Command peridotd is the daemon of peridotgw. Every VM of the service runs the same program.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotgw.example/peridotgw/internal/daemon"
	"peridotgw.example/peridotgw/internal/params"
)

// Exit codes; the usage text documents them.
const (
	exitOK    = 0
	exitUsage = 1
	exitError = 2
)

func main() {
	check := flag.Bool("check", false, "check the settings and exit")
	onPlatform := flag.Bool("platform", false, "run on the users' platform, with the settings file that it provides")
	flag.Usage = printUsage
	flag.Parse()
	if *onPlatform {
		os.Exit(runOnPlatform(*check))
	}
	if flag.NArg() != 1 {
		printUsage()
		os.Exit(exitUsage)
	}
	os.Exit(runWithSettings(flag.Arg(0), *check))
}

func printUsage() {
	fmt.Fprint(os.Stderr, `peridotd runs one instance.

Usage:
    peridotd [-check] settings.jsonc
    peridotd [-check] -platform

Example:
    peridotd --check examples/hollow-creek/entry-1.jsonc
    peridotd examples/hollow-creek/entry-1.jsonc

Exit codes: 0 stopped as asked, 1 usage or settings, 2 an error while running.

Flags:
`)
	flag.PrintDefaults()
}

func runWithSettings(path string, check bool) int {
	settings, err := params.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		fmt.Printf("%s: settings of instance %s are valid\n", path, settings.Instance)
		return exitOK
	}
	log, err := newLog(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if err := runUntilSignal(settings, log); err != nil {
		log.Error().Err(err).Msg("peridotd: stopped by an error")
		return exitError
	}
	return exitOK
}

// runUntilSignal runs the instance until SIGTERM or an interrupt and stops it gracefully; a second signal ends the process at once.
func runUntilSignal(settings *params.Settings, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, cleanup, err := daemon.New(settings, log, nil)
	if err != nil {
		return err
	}
	defer cleanup()
	context.AfterFunc(ctx, stop)
	// Programs that start this one read the addresses from this line: with port 0 the operating system assigns the ports.
	if _, err := fmt.Println(d.ReadyLine()); err != nil {
		return eris.Wrap(err, "writing the ready line")
	}
	err = d.Run(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func newLog(settings *params.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(settings.Log.Level)
	if err != nil {
		return zerolog.Nop(), eris.Wrap(err, "reading the log level")
	}
	var out io.Writer = os.Stderr
	if settings.Log.Format == params.LogFormatConsole {
		out = zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli, NoColor: true}
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("instance", string(settings.Instance)).Logger(), nil
}
