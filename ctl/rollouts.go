package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/operator"
)

func (a *app) rolloutCommands(k *kingpin.Application) {
	parent := k.Command("rollout", "Move a service to targets of another version, and watch it.")
	a.rolloutStart(parent)

	status := parent.Command("status", "Show the last roll-out of each service, or of one.")
	service := status.Arg("service", "Service. Default: all.").String()
	status.Action(a.action(func(ctx context.Context, c *operator.Client) error {
		return a.rolloutStatus(ctx, c, *service)
	}))
}

func (a *app) rolloutStart(parent *kingpin.CmdClause) {
	start := parent.Command("start", "Order a roll-out. Start the targets of the new version after it was accepted.")
	service := start.Arg("service", "Service.").Required().String()
	version := start.Arg("version", "Version that the new targets announce.").Required().String()
	duration := start.Flag("duration", "Time until the deadline, such as 12s.").Required().Duration()
	start.Action(a.submit(func() (api.Change, error) {
		if *duration < time.Millisecond {
			return api.Change{}, errkind.New(errkind.Invalid, "duration %v is below 1ms", *duration)
		}
		order := &api.RolloutOrder{Service: *service, Version: *version, DurationMs: duration.Milliseconds()}
		return api.Change{Kind: api.StartRollout, Rollout: order}, nil
	}))
}

func (a *app) rolloutStatus(ctx context.Context, c *operator.Client, service string) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	list := []api.RolloutStatus{}
	for _, r := range s.Rollouts {
		if service == "" || r.Service == service {
			list = append(list, r)
		}
	}
	if service != "" && len(list) == 0 {
		return errkind.New(errkind.NotFound, "there is no roll-out of service %q", service)
	}
	return a.print(list, func(w io.Writer) {
		rows := [][]string{{"SERVICE", "VERSION", "PHASE", "ELAPSED", "DURATION", "CANARY", "REASON"}}
		for _, r := range list {
			rows = append(rows, []string{r.Service, r.Version, string(r.Phase), milliseconds(r.ElapsedMs), milliseconds(r.DurationMs),
				fmt.Sprintf("%d targets, share %s", len(r.Canary), strconv.FormatFloat(r.Share, 'g', 3, 64)), r.Reason})
		}
		table(w, rows...)
	})
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
