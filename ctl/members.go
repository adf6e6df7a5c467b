package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/operator"
)

func (a *app) memberCommands(k *kingpin.Application) {
	parent := k.Command("member", "List, add and remove control members.")
	list := parent.Command("list", "List the control members.")
	list.Action(a.action(a.listMembers))

	add := parent.Command("add", "Add a control member; it votes once it has caught up.")
	name := add.Arg("name", "Name in the member's settings.").Required().String()
	address := add.Arg("address", "RPC address of the member, host:port.").Required().String()
	add.Action(a.memberChange(func() api.MemberChange {
		return api.MemberChange{Action: api.AddMember, Name: *name, Address: *address}
	}))

	remove := parent.Command("remove", "Remove a control member.")
	id := remove.Arg("id", "Member id, as member list prints it.").Required().Uint64()
	remove.Action(a.memberChange(func() api.MemberChange {
		return api.MemberChange{Action: api.RemoveMember, ID: *id}
	}))
}

func (a *app) memberChange(build func() api.MemberChange) kingpin.Action {
	return a.action(func(ctx context.Context, c *operator.Client) error {
		change := build()
		if err := c.ChangeMembers(ctx, change); err != nil {
			return err
		}
		return a.print(change, func(w io.Writer) { fmt.Fprintln(w, "accepted") })
	})
}

func (a *app) listMembers(ctx context.Context, c *operator.Client) error {
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	return a.print(status.Members, func(w io.Writer) { memberTable(w, status) })
}

func memberTable(w io.Writer, status *api.Status) {
	rows := [][]string{{"MEMBER", "ID", "ADDRESS", "ROLE", "MATCH"}}
	for _, m := range status.Members {
		rows = append(rows, []string{m.Name, strconv.FormatUint(m.ID, 10), m.Address, role(m, status),
			strconv.FormatUint(m.Match, 10)})
	}
	table(w, rows...)
}

func role(m api.MemberStatus, status *api.Status) string {
	switch {
	case m.Name == status.Leader:
		return "leader"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}
