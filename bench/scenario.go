package bench

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/target"
)

// Scenario disturbs a deployment while the load runs, for the duration of the load.
type Scenario func(ctx context.Context, d *local.Deployment, p ServicePool, duration time.Duration) error

var scenarios = map[string]Scenario{
	"steady": undisturbed,
	// The load itself moves to single nodes; see Load.Skew.
	scenarioSkew:     undisturbed,
	scenarioFailover: failover,
	"stragglers":     stragglers,
	"cold":           coldStarts,
	"zone":           zoneOutAndIn,
	"shed":           shedding,
	"flood":          undisturbed,
	"hot-keys":       undisturbed,
}

// Names of scenarios that change more than what happens while the load runs.
const (
	scenarioSkew     = "skew"
	scenarioFailover = "failover"
)

// undisturbed leaves the deployment alone; the load makes the scenario.
func undisturbed(context.Context, *local.Deployment, ServicePool, time.Duration) error { return nil }

// failover stops the leading control member after half of the time.
func failover(ctx context.Context, d *local.Deployment, _ ServicePool, duration time.Duration) error {
	if !wait.For(ctx, duration/2) {
		return ctx.Err()
	}
	return d.StopLeader(ctx)
}

// ScenarioNames returns the names of the scenarios in order.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

const (
	straggleStep    = 500 * time.Millisecond
	straggleDelayMs = 200
	straggleShare   = 0.3
	shedSpan        = 300 * time.Millisecond
	failoverMembers = 3
)

// stragglers makes another random target slow for a moment, over and over.
func stragglers(ctx context.Context, d *local.Deployment, p ServicePool, duration time.Duration) error {
	rng := rand.New(rand.NewPCG(1, 2))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		t := d.Targets[rng.IntN(len(d.Targets))]
		slow := behaviour(p)
		slow.StraggleMs = straggleDelayMs
		slow.StraggleShare = straggleShare
		if err := during(ctx, t, slow, behaviour(p), straggleStep); err != nil {
			return err
		}
	}
	return nil
}

// shedding makes a random target refuse everything for a moment, over and over.
func shedding(ctx context.Context, d *local.Deployment, p ServicePool, duration time.Duration) error {
	rng := rand.New(rand.NewPCG(3, 4))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		t := d.Targets[rng.IntN(len(d.Targets))]
		shed := behaviour(p)
		shed.Shed = true
		if err := during(ctx, t, shed, behaviour(p), shedSpan); err != nil {
			return err
		}
		wait.For(ctx, shedSpan)
	}
	return nil
}

func during(ctx context.Context, t *target.Sample, disturbed, normal target.Behaviour, span time.Duration) error {
	if err := t.SetBehaviour(disturbed); err != nil {
		return errors.Trace(err)
	}
	wait.For(ctx, span)
	return errors.Trace(t.SetBehaviour(normal))
}

// coldStarts makes every fourth target fall back into a cold start, unannounced, after a third
// of the time.
func coldStarts(ctx context.Context, d *local.Deployment, p ServicePool, duration time.Duration) error {
	if !wait.For(ctx, duration/3) {
		return ctx.Err()
	}
	for i := 0; i < len(d.Targets); i += 4 {
		b := behaviour(p)
		b.BecomeCold = true
		if err := d.Targets[i].SetBehaviour(b); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// zoneOutAndIn takes the first availability zone out after a third of the time and returns it
// after two thirds.
func zoneOutAndIn(ctx context.Context, d *local.Deployment, _ ServicePool, duration time.Duration) error {
	zone := zoneName(0)
	for _, kind := range []api.ChangeKind{api.ZoneOut, api.ZoneIn} {
		if !wait.For(ctx, duration/3) {
			return ctx.Err()
		}
		if err := d.Change(ctx, api.Change{Kind: kind, Name: zone}); err != nil {
			return err
		}
	}
	return nil
}

func behaviour(p ServicePool) target.Behaviour {
	return target.Behaviour{WorkMs: float64(p.Work) / float64(time.Millisecond)}
}

func zoneName(i int) string { return string(rune('a' + i)) }
