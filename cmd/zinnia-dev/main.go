// Command zinnia-dev runs a small deployment in one process, for a first look.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/daemon"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/telemetry"
)

// startLimit bounds the time until the deployment is ready.
const startLimit = 30 * time.Second

func main() {
	app := kingpin.New("zinnia-dev", "Runs one control member, two nodes and sample targets on loopback.")
	data := app.Flag("data", "Data folder of the control member. Default: a temporary folder.").String()
	listen := app.Flag("listen", "Address for callers.").Default("127.0.0.1:8080").String()
	control := app.Flag("listen-control", "Address for zinniactl.").Default("127.0.0.1:8090").String()
	level := app.Flag("log-level", "debug, info, warning or error.").Default("warning").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	daemon.Exit(run(*data, *listen, *control, *level))
}

func run(data, listen, control, level string) error {
	if err := telemetry.SetOutput(os.Stderr, level); err != nil {
		return errors.Trace(err)
	}
	if data == "" {
		temporary, err := os.MkdirTemp("", "zinnia-dev-")
		if err != nil {
			return errors.Trace(err)
		}
		defer os.RemoveAll(temporary)
		data = temporary
	}
	deployment, err := local.New(local.DemoOptions(data, listen, control))
	if err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext()
	defer stop()
	done := make(chan error, 1)
	go func() { done <- deployment.Serve(ctx) }()
	if err := prepare(ctx, deployment, listen, control); err != nil {
		stop()
		<-done
		return err
	}
	return <-done
}

func prepare(ctx context.Context, d *local.Deployment, listen, control string) error {
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.SetUpDemo(limit); err != nil {
		return err
	}
	if err := d.AwaitReady(limit); err != nil {
		return err
	}
	fmt.Printf("Ready. Callers: %s  zinniactl: --control %s\n", listen, control)
	authorisation := fmt.Sprintf("-H 'Authorization: Bearer %s'", local.DemoKey)
	fmt.Printf("  curl %s http://%s/quotes/tower-7\n", authorisation, listen)
	fmt.Printf("  curl %s -X POST -d '{\"pallets\":2}' http://%s/orders\n", authorisation, listen)
	fmt.Printf("  curl http://%s/open/catalogue\n", listen)
	fmt.Printf("  go run ./cmd/zinniactl --control %s status\n", control)
	return nil
}
