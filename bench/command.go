package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/capacity"
	"github.com/zinniapier/zinniapier/telemetry"
)

// compareFlags are the flags of the compare command.
type compareFlags struct {
	deployment string
	scenario   string
	load       string
	a, b       string
	duration   time.Duration
	rounds     int
	seed       uint64
	members    int
	burst      float64
	json       bool
}

// Main runs the command line of zinnia-bench and writes its results to out.
func Main(ctx context.Context, args []string, out io.Writer) error {
	app := kingpin.New("zinnia-bench", "Load and measurement on an emulated deployment in one process.")
	level := app.Flag("log-level", "debug, info, warning or error.").Default("error").String()
	var f compareFlags
	compare := app.Command("compare", "Measures two variants in turn, with the same load.")
	compare.Flag("deployment", "lichtwerk or board.").Default("lichtwerk").EnumVar(&f.deployment, "lichtwerk", "board")
	compare.Flag("scenario", "Disturbance.").Default("steady").EnumVar(&f.scenario, ScenarioNames()...)
	compare.Flag("load", "over has an organisation beyond its rate, within has none.").Default("over").EnumVar(&f.load, loads...)
	compare.Flag("a", "First variant.").Default("default").EnumVar(&f.a, VariantNames()...)
	compare.Flag("b", "Second variant.").Default("no-hedge").EnumVar(&f.b, VariantNames()...)
	compare.Flag("duration", "Time of each run.").Default("6s").DurationVar(&f.duration)
	compare.Flag("rounds", "Runs of each variant; they alternate.").Default("2").IntVar(&f.rounds)
	compare.Flag("seed", "Seed of the first round.").Default("1").Uint64Var(&f.seed)
	compare.Flag("members", "Control members.").Default("1").IntVar(&f.members)
	compare.Flag("burst", "Burst of every organisation in tokens; 0 keeps the deployment's.").Float64Var(&f.burst)
	compare.Flag("json", "Print JSON.").BoolVar(&f.json)
	slopes := app.Command("slopes", "Measures how the costs of the parts grow with their sizes.")
	only := slopes.Flag("only", "Measure this slope alone.").Enum(capacity.Names()...)
	slopesJSON := slopes.Flag("json", "Print JSON.").Bool()
	var p pathFlags
	path := app.Command("path", "Measures the cost of the path: direct, own node, one hop.")
	path.Flag("duration", "Time of each way.").Default("3s").DurationVar(&p.duration)
	path.Flag("workers", "Concurrent callers.").Default("4").IntVar(&p.workers)
	path.Flag("json", "Print JSON.").BoolVar(&p.json)
	command, err := app.Parse(args)
	if err != nil {
		return errors.Trace(err)
	}
	if err := telemetry.SetOutput(os.Stderr, *level); err != nil {
		return errors.Trace(err)
	}
	switch command {
	case compare.FullCommand():
		return f.run(ctx, out)
	case path.FullCommand():
		return p.run(ctx, out)
	case slopes.FullCommand():
		return runSlopes(ctx, out, *only, *slopesJSON)
	}
	return errors.NotFoundf("command %q", command)
}

// pathFlags are the flags of the path command.
type pathFlags struct {
	duration time.Duration
	workers  int
	json     bool
}

func (p *pathFlags) run(ctx context.Context, out io.Writer) error {
	reports, err := MeasurePath(ctx, p.duration, p.workers)
	if err != nil {
		return err
	}
	if p.json {
		return errors.Trace(json.NewEncoder(out).Encode(reports))
	}
	return printPaths(out, reports)
}

func (f *compareFlags) run(ctx context.Context, out io.Writer) error {
	deployment := Deployments()[f.deployment]
	if f.burst > 0 {
		deployment.setBurst(f.burst)
	}
	var reports []Report
	for round := range f.rounds {
		names := []string{f.a, f.b}
		if round%2 == 1 {
			// The first run of a process is slower; each variant takes its turn.
			slices.Reverse(names)
		}
		for _, name := range names {
			v, err := NewVariant(name, deployment.targets())
			if err != nil {
				return err
			}
			run := Run{
				Deployment: deployment,
				Variant:    v,
				Scenario:   f.scenario,
				Load:       f.load,
				Duration:   f.duration,
				Seed:       f.seed + uint64(round),
				Members:    f.members,
			}
			report, err := run.Execute(ctx)
			if err != nil {
				return errors.Annotatef(err, "variant %s", name)
			}
			reports = append(reports, report)
		}
	}
	if f.json {
		return errors.Trace(json.NewEncoder(out).Encode(reports))
	}
	if err := f.printReports(out, reports); err != nil {
		return err
	}
	return printLoadAverage(out)
}

// printLoadAverage prints the load average of the machine, by which other work is judged.
func printLoadAverage(out io.Writer) error {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(out, "load average: %s", text)
	return errors.Trace(err)
}

// targets returns the number of targets, which is also the number of nodes.
func (d Deployment) targets() int {
	n := 0
	for _, p := range d.Services {
		n += p.Targets
	}
	return n
}

func (d Deployment) setBurst(burst float64) {
	for i := range d.Tenants {
		d.Tenants[i].Organisation.Burst = burst
	}
}

func (f *compareFlags) serviceNames() []string {
	var names []string
	for _, p := range Deployments()[f.deployment].Services {
		names = append(names, p.Service.Name)
	}
	return names
}

// printReports prints one column for each report.
func (f *compareFlags) printReports(out io.Writer, reports []Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(r *Report) string) {
		fmt.Fprintf(w, "%s\t", name)
		for i := range reports {
			fmt.Fprintf(w, "%s\t", value(&reports[i]))
		}
		fmt.Fprintln(w)
	}
	row("variant", func(r *Report) string { return r.Name })
	row("requests", func(r *Report) string { return fmt.Sprint(r.Requests) })
	row("served/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.Throughput) })
	row("p50 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P50Ms) })
	row("p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P99Ms) })
	row("p99.9 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P999Ms) })
	row("p99 ms within rate", func(r *Report) string { return fmt.Sprintf("%.1f", r.P99WithinMs) })
	row("late p50/p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f/%.1f", r.LateP50Ms, r.LateP99Ms) })
	for _, p := range f.serviceNames() {
		row(p+" p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.ServiceP99Ms[p]) })
	}
	row("others p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.OthersP99Ms) })
	row("failed", func(r *Report) string { return fmt.Sprint(r.Failed) })
	row("imbalance", func(r *Report) string { return fmt.Sprintf("%.2f", r.Imbalance) })
	row("partitions moved", func(r *Report) string { return fmt.Sprint(r.Moved) })
	row("cold detected/stated", func(r *Report) string { return fmt.Sprintf("%d/%d", r.Detected, r.Stated) })
	row("zone change p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.ChangeP99Ms) })
	row("zone last work ms", func(r *Report) string { return fmt.Sprintf("%.0f", r.LastWorkMs) })
	row("worst-served share", func(r *Report) string { return fmt.Sprintf("%.3f", r.WorstShare) })
	row("refused within rate", func(r *Report) string { return fmt.Sprint(r.WrongfulRefusals) })
	row("  of these, organisation never beyond rate", func(r *Report) string { return fmt.Sprint(r.WrongfulWithin) })
	row("run more than once", func(r *Report) string { return fmt.Sprint(r.RepeatedRuns) })
	row("false not-run", func(r *Report) string { return fmt.Sprint(r.FalseNotRun) })
	row("overshoot", func(r *Report) string { return fmt.Sprintf("%.0f", r.Overshoot) })
	row("  of these, certain at admission", func(r *Report) string { return fmt.Sprintf("%.0f", r.CertainOvershoot) })
	row("max concurrency cold", func(r *Report) string { return fmt.Sprint(r.MaxCold) })
	row("cold overruns", func(r *Report) string { return fmt.Sprint(r.Overruns) })
	row("broken", func(r *Report) string { return fmt.Sprint(r.Broken) })
	row("refusals", func(r *Report) string { return fmt.Sprint(r.Kinds) })
	return errors.Trace(w.Flush())
}
