// Command standin serves small fakes of the platform on loopback, for demos and tests: the key-value service, workers,
// endpoints and the VM list. Its control listener lists them and sets their fault switches.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	path := flag.String("layout", "", "layout `file`, JSON with comments; without it only the key-value service is served")
	firstPort := flag.Int("first-port", -1, "first of consecutive `ports`; 0 lets the kernel choose each; default from the layout")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() > 0 {
		usage()
		os.Exit(1)
	}
	layout, err := loadLayout(*path)
	if err != nil {
		log.Error().Msgf("standin: %v", err)
		os.Exit(1)
	}
	if *firstPort >= 0 {
		layout.FirstPort = *firstPort
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, log, layout)
	stop()
	if err != nil {
		log.Error().Msgf("standin: %v", err)
		os.Exit(1)
	}
}

func usage() {
	if _, err := fmt.Fprint(os.Stderr, `standin serves fakes of the platform on 127.0.0.1.

Example:
    standin -layout examples/hollow-creek/standin.jsonc
    curl http://127.0.0.1:7900/
    curl -X POST -d '{"delay-ms":500}' http://127.0.0.1:7900/faults/store

Flags:
`); err == nil {
		flag.PrintDefaults()
	}
}

// run opens the listeners, prints the ready line and serves until ctx ends.
func run(ctx context.Context, log zerolog.Logger, layout *Layout) error {
	fleet, err := listen(ctx, layout, defaultBuilders())
	if err != nil {
		return err
	}
	for _, kind := range fleet.missing {
		log.Warn().Str("kind", string(kind)).Msg("standin: this build has no fake for a kind of the layout")
	}
	// Programs that start standin wait for this line and read the addresses from it.
	if _, err := fmt.Printf("ready control=%s store=%s vm-list=%s served=%d\n",
		fleet.baseURL(kindControl), fleet.baseURL(kindStore), fleet.baseURL(kindVMList), len(fleet.served)); err != nil {
		fleet.close()
		return eris.Wrap(err, "writing ready line")
	}
	return fleet.serve(ctx)
}
