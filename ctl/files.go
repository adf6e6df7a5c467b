package ctl

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
)

// Kinds of files that check accepts.
const (
	kindServices = "services"
	kindNode     = "node"
	kindControl  = "control"
	kindTarget   = "target"
)

func (a *app) fileCommands(k *kingpin.Application) {
	check := k.Command("check", "Check a services or settings file without a control member.")
	path := check.Arg("file", "File to check.").Required().String()
	kind := check.Flag("kind", "What the file holds: services, node, control or target.").
		Default(kindServices).Enum(kindServices, kindNode, kindControl, kindTarget)
	check.Action(func(*kingpin.ParseContext) error { return a.check(*path, *kind) })

	apply := k.Command("apply", "Check a services file and replace the services in force.")
	file := apply.Arg("file", "Services file.").Required().String()
	apply.Action(a.submit(func() (api.Change, error) {
		services, err := config.LoadServices(*file)
		return api.Change{Kind: api.ApplyServices, Services: services}, err
	}))
}

func (a *app) check(path, kind string) error {
	if err := load(path, kind); err != nil {
		return err
	}
	result := struct {
		File string `json:"file"`
		Kind string `json:"kind"`
		OK   bool   `json:"ok"`
	}{path, kind, true}
	return a.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid %s file\n", path, kind)
	})
}

func load(path, kind string) error {
	var err error
	switch kind {
	case kindNode:
		_, err = config.LoadNode(path)
	case kindControl:
		_, err = config.LoadControl(path)
	case kindTarget:
		_, err = config.LoadTarget(path)
	default:
		_, err = config.LoadServices(path)
	}
	return err
}
