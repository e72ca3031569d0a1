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

	"peridotgw.example/peridotgw/internal/node"
	"peridotgw.example/peridotgw/platform"
)

const (
	logLines = 4096 // that wait for a slow reader; further ones are dropped and counted
	// Garbage is collected at this growth, and more eagerly near the limit.
	garbagePercent   = 60
	memoryLimitShare = 0.8 // of the machine's memory
)

// runOnPlatform runs one instance with the settings file that the platform names.
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
	log, out := platformLog(os.Stdout, string(settings.Node))
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(garbagePercent)
	code := serveOnPlatform(settings, path, log)
	if err := out.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

// platformLog returns a log that never waits for its reader: lines beyond those that fit are dropped and counted.
func platformLog(to io.Writer, instance string) (zerolog.Logger, io.Closer) {
	out := diode.NewWriter(to, logLines, 0, func(missed int) {
		fmt.Fprintf(os.Stderr, "log: %d lines dropped\n", missed)
	})
	return zerolog.New(out).Level(zerolog.InfoLevel).With().Timestamp().Str("instance", instance).Logger(), out
}

func serveOnPlatform(settings *platform.Settings, path string, log zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	go checkReloads(ctx, reloads, path, log)
	n, cleanup := node.New(settings, log)
	defer cleanup()
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("peridotd: stopped by an error")
		return exitError
	}
	return exitOK
}

// checkReloads reports whether changed settings are valid. They take effect at the next start, since addresses cannot
// change under open connections.
func checkReloads(ctx context.Context, reloads <-chan os.Signal, path string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error().Err(err).Msg("peridotd: changed settings are not valid")
				continue
			}
			log.Info().Msg("peridotd: settings read again, in force from the next start")
		}
	}
}
