package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/operator"
)

func (a *app) statusCommand(k *kingpin.Application) {
	status := k.Command("status", "Show control members, nodes, targets, services and organisations.")
	status.Action(a.action(func(ctx context.Context, c *operator.Client) error {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return a.print(s, func(w io.Writer) { statusText(w, s) })
	}))
}

func statusText(w io.Writer, s *api.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(w, "answered by %s, leader %s, term %d, configuration version %d, map version %d\n",
		s.Member, leader, s.Term, s.Version, s.MapVersion)
	if len(s.ZonesOut) > 0 {
		fmt.Fprintf(w, "availability zones out: %s\n", strings.Join(s.ZonesOut, ", "))
	}
	fmt.Fprintln(w)
	memberTable(w, s)
	fmt.Fprintln(w)
	nodeTable(w, s.Nodes)
	fmt.Fprintln(w)
	serviceTable(w, s.Services)
	fmt.Fprintln(w)
	tokenTable(w, s.Organisations)
}

func nodeTable(w io.Writer, nodes []api.NodeStatus) {
	rows := [][]string{{"NODE", "ZONE", "ADDRESS", "CONFIG", "TARGET", "SERVICE", "STATE", "SLOTS", "LOAD"}}
	for _, n := range nodes {
		head := []string{n.Name, n.Zone, n.InternalAddr, strconv.FormatUint(n.ConfigVersion, 10)}
		if len(n.Targets) == 0 {
			rows = append(rows, append(head, "-", "-", "-", "-", "-"))
		}
		for _, t := range n.Targets {
			rows = append(rows, append(slices.Clone(head), string(t.ID), t.Service, targetState(t),
				strconv.Itoa(t.Slots), strconv.FormatFloat(t.Load, 'f', 1, 64)))
		}
	}
	table(w, rows...)
}

func targetState(t api.TargetReport) string {
	if t.Cold {
		return string(t.State) + ", cold"
	}
	return string(t.State)
}

func serviceTable(w io.Writer, services []api.ServiceStatus) {
	rows := [][]string{{"SERVICE", "PARTITIONS", "GRANTED", "OWNED"}}
	for _, s := range services {
		var owned []string
		for id, count := range s.Owned {
			owned = append(owned, fmt.Sprintf("%s:%d", id, count))
		}
		slices.Sort(owned)
		rows = append(rows, []string{s.Name, strconv.Itoa(s.Partitions), strconv.Itoa(s.Granted), strings.Join(owned, " ")})
	}
	table(w, rows...)
}

func tokenTable(w io.Writer, organisations []api.OrgTokensStatus) {
	rows := [][]string{{"ORGANISATION", "TOKENS LEFT", "TOKENS ISSUED"}}
	for _, o := range organisations {
		rows = append(rows, []string{string(o.ID), strconv.FormatFloat(o.Level, 'f', 1, 64),
			strconv.FormatFloat(o.Outstanding, 'f', 1, 64)})
	}
	table(w, rows...)
}
