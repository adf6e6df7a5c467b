package ctl

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/operator"
)

func (a *app) explainCommand(k *kingpin.Application) {
	explain := k.Command("explain", "Show where a node would route a request now, and why, without sending it.")
	node := explain.Flag("node", "Status address of the node, host:port.").PlaceHolder("ADDRESS").Required().String()
	q := api.ExplainRequest{Header: make(http.Header)}
	explain.Flag("host", "Host of the request.").Required().StringVar(&q.Host)
	explain.Flag("path", "Path of the request, with its query.").Required().StringVar(&q.Path)
	explain.Flag("method", "Method of the request.").Default(http.MethodGet).StringVar(&q.Method)
	headers := explain.Flag("header", "Header of the request, 'Name: value'; repeat it for several.").PlaceHolder("HEADER").Strings()
	explain.Flag("body-bytes", "Length of the body of the request.").PlaceHolder("N").Int64Var(&q.BodyBytes)
	explain.Action(func(*kingpin.ParseContext) error {
		if _, _, err := net.SplitHostPort(*node); err != nil {
			return errors.Errorf("node address %q: %v", *node, err)
		}
		for i, h := range *headers {
			name, value, found := strings.Cut(h, ":")
			if !found || strings.TrimSpace(name) == "" {
				// The text may hold an organisation key.
				return errors.Errorf("header %d is not of the form 'Name: value'", i+1)
			}
			q.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
		}
		return a.explain(*node, q)
	})
}

func (a *app) explain(node string, q api.ExplainRequest) error {
	c, err := operator.New(operator.Options{Addresses: []string{node}, Timeout: a.timeout})
	if err != nil {
		return err
	}
	x, err := c.Explain(context.Background(), q)
	if err != nil {
		return err
	}
	return a.print(x, func(w io.Writer) { writeExplanation(w, x) })
}

// explanationWriter writes lines that begin with the name of a step.
type explanationWriter struct{ io.Writer }

func (w explanationWriter) line(name, format string, args ...any) {
	fmt.Fprintf(w, "%-14s"+format+"\n", append([]any{name}, args...)...)
}

// writeExplanation writes the steps in the order in which a node takes them.
func writeExplanation(out io.Writer, x *api.Explanation) {
	w := explanationWriter{out}
	w.request(x)
	w.destination(x)
	w.result(x)
}

// request writes what the node finds out about the request.
func (w explanationWriter) request(x *api.Explanation) {
	w.line("node", "%s, zone %s, configuration %d, map %d", x.Node, x.Zone, x.ConfigurationVersion, x.MapVersion)
	if r := x.Route; r != nil {
		w.line("route", "%s", routeText(r))
		for _, s := range r.Split {
			w.line("split", "%s, share %s", s.Service, short(s.Share))
		}
		w.line("service", "%s", x.Service)
	}
	if x.Organisation != "" {
		w.line("organisation", "%s", x.Organisation)
	}
	if l := x.Limits; l != nil {
		w.line("limits", "priority %d, deadline %s%s, %d attempts", l.Priority, ms(l.DeadlineMs), unlessZero(l.ObjectiveMs, ", objective "), l.Attempts)
	}
	if t := x.Token; t != nil && t.Needed {
		w.line("token", "needed: %s", t.State)
	}
	if r := x.Rollout; r != nil {
		w.line("roll-out", "to %s, phase %s, %d canary targets", r.Version, r.Phase, len(r.Canary))
	}
	if p := x.Partition; p != nil {
		w.line("partition", "%d of key %q, owner %s, epoch %d", p.Partition, p.Key, orNone(string(p.Owner)), p.Epoch)
	}
}

// destination writes the selection of the target and its state.
func (w explanationWriter) destination(x *api.Explanation) {
	for _, c := range x.Choices {
		w.line("choice", "%s", choiceText(c))
		if len(c.Compared) > 0 {
			table(w, candidateRows(c.Compared)...)
		}
	}
	if t := x.Target; t != nil {
		w.line("target", "%s at %s, zone %s%s%s", t.ID, t.Node, t.Zone, prefixed(", version ", t.Version), map[bool]string{true: ", local"}[t.Local])
	}
	if l := x.Link; l != nil {
		w.line("link", "large response %t, mean %d bytes, tail %d bytes, wait %s%s%s", l.Large, l.MeanBytes, l.TailBytes, ms(l.WaitMs),
			unlessZero(l.SentAfterMs, ", sent after "), unlessZero(l.LimitMs, " of "))
	}
	if g := x.Gate; g != nil {
		w.line("gate", "%s: %d of %d running, %d queued, %d ahead, wait %s, service time %s%s", g.Decision, g.Running, g.Limit, g.Queued,
			g.Ahead, ms(g.WaitMs), ms(g.ServiceMs), map[bool]string{true: ", cold"}[g.Cold])
	}
}

// result writes the refusal and the remarks.
func (w explanationWriter) result(x *api.Explanation) {
	if e := x.Refusal; e != nil {
		run := "may have run"
		if e.NotRun {
			run = "not run"
		}
		w.line("refusal", "%s (%s): %s", e.Kind, run, e.Message)
	}
	if x.Then != "" {
		w.line("then", "%s", x.Then)
	}
	for _, text := range x.Chance {
		w.line("chance", "%s", text)
	}
	for _, text := range x.Notes {
		w.line("note", "%s", text)
	}
}

func routeText(r *api.ExplainedRoute) string {
	text := r.Prefix + prefixed(", name ", r.Name) + prefixed(", host ", r.Host) + prefixed(", methods ", strings.Join(r.Methods, " "))
	if r.Open {
		text += ", open"
	}
	if r.Idempotent {
		return text + ", idempotent"
	}
	return text + ", not idempotent"
}

func choiceText(c api.ExplainedChoice) string {
	kind := "targets"
	if c.Canary {
		kind = "canary targets"
	}
	return fmt.Sprintf("%s selects %s out of %d %s, %d in the zone; share %s", c.Policy, orNone(string(c.Selected)), c.Targets, kind,
		c.SameZone, short(c.Share))
}

func candidateRows(list []api.ExplainedCandidate) [][]string {
	rows := [][]string{{"  CANDIDATE", "NODE", "ZONE", "VERSION", "OUTSTANDING", "SLOTS", "LATENCY", "REPORTED", "SERVICE", "BODY WAIT", "LINK WAIT", "COST"}}
	for _, c := range list {
		rows = append(rows, []string{"  " + string(c.Target), c.Node, c.Zone, orNone(c.Version), strconv.FormatInt(c.Outstanding, 10),
			strconv.Itoa(c.Slots), ms(c.LatencyMs), ms(c.ReportedMs), ms(c.ServiceMs), ms(c.BodyWaitMs), ms(c.LinkWaitMs), short(c.Cost)})
	}
	return rows
}

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) + "ms" }

func short(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// unlessZero returns the time behind a text, or nothing if the time is 0.
func unlessZero(v float64, text string) string {
	if v == 0 {
		return ""
	}
	return text + ms(v)
}

// prefixed returns the value behind a text, or nothing if it is empty.
func prefixed(text, value string) string {
	if value == "" {
		return ""
	}
	return text + value
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
