// Command zinnia-node runs beside a target: it admits callers, routes their requests to the
// owner of the key, and is the only way to its own targets.
package main

import (
	"os"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/node"
	"github.com/zinniapier/zinniapier/platform"
	"github.com/zinniapier/zinniapier/telemetry"
)

func main() {
	daemon.Main("zinnia-node", "Routes requests to the target that owns their key.", run, platform.RunNode)
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
