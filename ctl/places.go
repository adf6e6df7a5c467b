package ctl

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
)

// placeCommands take availability zones and targets out and in.
func (a *app) placeCommands(k *kingpin.Application) {
	zone := k.Command("availability-zone", "Take an availability zone out of service, or return it.")
	a.named(zone, "out", "Give the zone no new work and move its keys elsewhere.", "zone", api.ZoneOut)
	a.named(zone, "in", "Return the zone to service.", "zone", api.ZoneIn)

	target := k.Command("target", "Take a target out of service, or return it.")
	a.named(target, "out", "Give the target no new work and move its keys elsewhere.", "id", api.TargetOut)
	a.named(target, "in", "Return the target to service.", "id", api.TargetIn)
}

// named declares a command that makes a change with a single name.
func (a *app) named(parent *kingpin.CmdClause, command, help, arg string, kind api.ChangeKind) {
	c := parent.Command(command, help)
	name := c.Arg(arg, argHelp[kind]).Required().String()
	c.Action(a.submit(func() (api.Change, error) {
		return api.Change{Kind: kind, Name: *name}, nil
	}))
}

var argHelp = map[api.ChangeKind]string{
	api.ZoneOut:            "Name of the availability zone.",
	api.ZoneIn:             "Name of the availability zone.",
	api.TargetOut:          "Target id, as status prints it.",
	api.TargetIn:           "Target id, as status prints it.",
	api.RemoveOrganisation: "Organisation id. Its organisation keys stop working.",
	api.WithdrawKey:        "Id of the organisation key, as organisation show prints it.",
}
