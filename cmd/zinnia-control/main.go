// Command zinnia-control is a control member: it replicates the configuration and the
// ownership of keys, and answers nodes and operators.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/member"
	"github.com/zinniapier/zinniapier/platform"
	"github.com/zinniapier/zinniapier/telemetry"
)

func main() {
	app := kingpin.New("zinnia-control", "A member of the replicated control group.")
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
	return platform.RunMember(ctx)
}

func run(path string) error {
	settings, err := config.LoadControl(path)
	if err != nil {
		return err
	}
	if err := telemetry.Start(os.Stdout, settings.Log.Level); err != nil {
		return err
	}
	m, err := member.New(*settings)
	if err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext()
	defer stop()
	return m.Serve(ctx)
}
