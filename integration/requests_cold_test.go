package integration

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

const (
	coldSlots = 2
	rampMs    = 500
	// coldWorkMs makes the load of the workers exceed what a cold target bears many times over.
	coldWorkMs = 10
)

func coldTargets(_ int, s *config.TargetSettings) {
	s.Slots, s.ColdSlots, s.RampMs, s.WorkMs = 20, coldSlots, rampMs, coldWorkMs
}

// TestColdTargetsAreNotOverrun guards against a target in a cold start that gets more
// concurrent requests than it bears: when it is new and meets the full load at once, and when
// it falls back into a cold start under load without announcing it.
func TestColdTargetsAreNotOverrun(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: coldTargets})
	s := &sender{key: key, method: "GET", deadline: 1000}
	stop := s.load(c.Nodes, 40, mixedPath)
	time.Sleep(time.Second)

	// A new target takes over partitions of quotes under full load.
	fresh := sampleHere(t, c.Nodes[1], target.SampleOptions{
		Service: "quotes", ChecksGrants: true, Slots: 20, ColdSlots: coldSlots,
		Ramp: rampMs * time.Millisecond, Behaviour: target.Behaviour{WorkMs: coldWorkMs},
	})
	time.Sleep(3 * time.Second)
	cold := append(targetsOf(c, "quotes"), targetsOf(c, "orders")...)
	for _, k := range cold {
		checkCold(t, k.Name, counters(k), 0)
	}
	checkCold(t, "fresh", fresh.Counters(), 0)
	is.True(fresh.Counters().Runs > 0)

	// Targets fall back without a word. Requests that already run may tip the first collapse,
	// after which the target bears cold slots again.
	for _, k := range cold {
		k.SetBehaviour(target.Behaviour{WorkMs: coldWorkMs, BecomeCold: true})
	}
	time.Sleep(3 * time.Second)
	stop()
	for _, k := range cold {
		checkCold(t, k.Name+"_fallen_back", counters(k), 1)
	}
	logKinds(t, "cold", s.outcomes(t))
	is.True(countKinds(s.outcomes(t))[outcomeWhole] > 500)
}

// checkCold compares the collapses of a target with a bound. The target itself counts a collapse
// for every request above what it bears at that moment.
func checkCold(t *testing.T, name string, k target.Counters, collapses int64) {
	t.Helper()
	t.Logf("measure: cold_overruns_%s=%d collapses", name, k.Overruns)
	t.Logf("measure: cold_max_concurrency_%s=%d requests", name, k.MaxConcurrencyCold)
	if k.Overruns > collapses {
		t.Errorf("%s collapsed %d times in cold starts, bound %d", name, k.Overruns, collapses)
	}
	if k.Runs == 0 {
		t.Errorf("%s has run nothing", name)
	}
}
