// Command zinniactl is the operator's tool. See zinniactl --help.
package main

import (
	"os"

	"github.com/zinniapier/zinniapier/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
