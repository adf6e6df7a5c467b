// Command zinnia-control is a control member: it replicates the configuration and the
// ownership of keys, and answers nodes and operators.
package main

import (
	"os"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/member"
	"github.com/zinniapier/zinniapier/platform"
	"github.com/zinniapier/zinniapier/telemetry"
)

func main() {
	daemon.Main("zinnia-control", "A member of the replicated control group.", run, platform.RunMember)
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
