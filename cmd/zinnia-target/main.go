// Command zinnia-target is a sample target for tests, measurements and demonstrations.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/target"
	"github.com/zinniapier/zinniapier/telemetry"
)

func main() {
	app := kingpin.New("zinnia-target", "A sample target that echoes its requests.")
	path := app.Flag("settings", "Path of the JSON settings.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	daemon.Exit(run(*path))
}

func run(path string) error {
	settings, err := config.LoadTarget(path)
	if err != nil {
		return err
	}
	if err := telemetry.Start(os.Stdout, settings.Log.Level); err != nil {
		return err
	}
	t, err := target.NewSample(target.OptionsFrom(*settings))
	if err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext()
	defer stop()
	return t.Serve(ctx)
}
