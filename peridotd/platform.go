package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"peridotgw.example/peridotgw/internal/budget"
	"peridotgw.example/peridotgw/internal/node"
	"peridotgw.example/peridotgw/platform"
)

const (
	logBufferLines = 4096 // buffered for a slow reader; further lines are dropped and counted
	// gcGrowthPercent is the heap growth that starts a garbage collection; near the memory limit, collections are more frequent.
	gcGrowthPercent  = 60
	memoryLimitShare = 0.8 // of the machine's memory
)

// runOnPlatform runs one instance with the settings file that the platform names in its environment, and returns the exit code.
func runOnPlatform(check bool) int {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		fmt.Printf("%s: settings of instance %s are valid\n", path, settings.Node)
		return exitOK
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, out := newPlatformLog(os.Stdout, string(settings.Node))
	settings.Machine = settings.Machine.Complete()
	if settings.Machine.MemoryFrom != budget.SourceRuntime {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Machine.Memory)))
	}
	debug.SetGCPercent(gcGrowthPercent)
	code := runNodeUntilSignal(settings, path, log)
	if err := out.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

// newPlatformLog returns a logger that never blocks on a slow reader: lines that do not fit in the buffer are dropped, and their
// number is written to standard error.
func newPlatformLog(to io.Writer, instance string) (zerolog.Logger, io.Closer) {
	out := diode.NewWriter(to, logBufferLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "log: %d lines dropped\n", missed)
	})
	return zerolog.New(out).Level(zerolog.InfoLevel).With().Timestamp().Str("instance", instance).Logger(), out
}

func runNodeUntilSignal(settings *platform.Settings, path string, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go checkSettingsOnHangup(ctx, hangups, path, log)
	instance, cleanup := node.New(settings, log)
	defer cleanup()
	if err := instance.Run(ctx); err != nil {
		log.Error().Err(err).Msg("peridotd: stopped by an error")
		return exitError
	}
	return exitOK
}

// checkSettingsOnHangup reads the settings file after each SIGHUP and logs whether it is valid. Changes take effect at the next
// start, because addresses cannot change while connections are open.
func checkSettingsOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error().Err(err).Msg("peridotd: changed settings are invalid")
				continue
			}
			log.Info().Msg("peridotd: changed settings are valid and take effect at the next start")
		}
	}
}
