// Command zinnia-node runs beside a target: it admits callers, routes their requests to the
// owner of the key, and is the only way to its own targets.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/node"
	"github.com/zinniapier/zinniapier/platform"
	"github.com/zinniapier/zinniapier/telemetry"
)

func main() {
	app := kingpin.New("zinnia-node", "Routes requests to the target that owns their key.")
	path := app.Flag("settings", "Path of the JSON settings.").String()
	onPlatform := app.Flag("platform", "Read the platform's settings instead.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	switch {
	case *onPlatform:
		daemon.Exit(runOnPlatform())
	case *path == "":
		app.Fatalf("required flag --settings or --platform not provided")
	default:
		daemon.Exit(run(*path))
	}
}

func runOnPlatform() error {
	if err := telemetry.Start(os.Stdout, "info"); err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext()
	defer stop()
	return platform.RunNode(ctx)
}

func run(path string) error {
	settings, err := config.LoadNode(path)
	if err != nil {
		return err
	}
	if err := telemetry.Start(os.Stdout, settings.Log.Level); err != nil {
		return err
	}
	n, err := node.New(*settings)
	if err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext()
	defer stop()
	return n.Serve(ctx)
}
