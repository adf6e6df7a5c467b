// Command zinnia-bench sends load to an emulated deployment on loopback and measures it.
package main

import (
	"os"

	"github.com/zinniapier/zinniapier/bench"
	"github.com/zinniapier/zinniapier/daemon"
)

func main() {
	ctx, stop := daemon.SignalContext()
	defer stop()
	daemon.Exit(bench.Main(ctx, os.Args[1:], os.Stdout))
}
