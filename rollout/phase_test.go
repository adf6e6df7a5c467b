package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

const second = time.Second

// newInput returns a roll-out of 16 s of a service with old targets of 9 slots in three zones, and as many new ones.
func newInput(phase api.RolloutPhase, elapsed time.Duration, oldTargets, newTargets int) *Input {
	in := &Input{
		Rollout: &api.Rollout{ID: "1", Service: "s", Version: "v2", DurationMs: 16000, Phase: phase},
		Limits:  Limits{}.OrDefault(), Elapsed: elapsed, InPhase: 10 * second, LongestTimeout: 4 * second, Informed: true,
	}
	for i := range oldTargets + newTargets {
		version := "v1"
		if i >= oldTargets {
			version = "v2"
		}
		in.Targets = append(in.Targets, Target{ID: api.TargetID(fmt.Sprintf("t%02d", i)), Zone: fmt.Sprint("z", i%3), Version: version, Slots: 9, Serving: true})
	}
	return in
}

// Guards against canaries that are cold, out or too few, that share an availability zone, or that get more than their
// share.
func TestCanaryPhaseBegins(t *testing.T) {
	is := is.New(t)
	in := newInput(api.RolloutStarting, 4*second, 61, 10)
	for i := range 8 {
		in.Targets[61+i].Cold = true
	}
	is.Equal(Decide(in), nil) // two are ready, three are needed
	for i := range 8 {
		in.Targets[61+i].Cold = i == 1
	}
	in.Targets[61].Serving = false
	d := Decide(in)
	is.Equal(d.Phase, api.RolloutCanary)
	is.Equal(d.Share, 0.04)
	is.Equal(len(d.Canary), 3)
	zones := make(map[string]bool)
	for _, target := range in.Targets {
		for _, id := range d.Canary {
			if target.ID == id {
				zones[target.Zone] = true
				is.True(target.Serving && !target.Cold && target.Version == "v2")
			}
		}
	}
	is.Equal(len(zones), 3)
	is.Equal(newInput(api.RolloutStarting, 0, 100, 0).canaryCount(), 4)
	is.Equal(newInput(api.RolloutStarting, 0, 2, 0).canaryCount(), 2)

	in.Limits.CanaryShare = 0.05
	is.Equal(Decide(in).Share, 0.025)
	in.Informed = false
	is.Equal(Decide(in), nil)
}

// Guards against a canary that is lost and not replaced, and against canaries that change without need.
func TestLostCanaryIsReplaced(t *testing.T) {
	is := is.New(t)
	in := newInput(api.RolloutCanary, 5*second, 20, 20)
	in.Rollout.Canary = in.pickCanaries()
	is.Equal(Decide(in), nil)
	lost := in.Rollout.Canary[1]
	for i := range in.Targets {
		in.Targets[i].Serving = in.Targets[i].ID != lost
	}
	d := Decide(in)
	is.Equal(d.Phase, api.RolloutCanary)
	is.Equal(len(d.Canary), 3)
	is.Equal(d.Canary[0], in.Rollout.Canary[0])
	for _, id := range d.Canary {
		is.True(id != lost)
	}
}

// Guards against a switch that is early, that leaves no time for the old requests before the deadline, or that begins
// with too few new targets.
func TestSwitchBegins(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*Input)
		at       time.Duration
		switches bool
	}{
		{"before 16-4-1.5 s", func(*Input) {}, 10400 * time.Millisecond, false},
		{"after 16-4-1.5 s", func(*Input) {}, 10600 * time.Millisecond, true},
		{"divided, before 16-4-1.5-2 s", func(in *Input) { in.Divided = true }, 8400 * time.Millisecond, false},
		{"divided, after 16-4-1.5-2 s", func(in *Input) { in.Divided = true }, 8600 * time.Millisecond, true},
		{"long timeout, before half", func(in *Input) { in.LongestTimeout = 20 * second }, 7900 * time.Millisecond, false},
		{"long timeout, after half", func(in *Input) { in.LongestTimeout = 20 * second }, 8100 * time.Millisecond, true},
		{"canary phase began late", func(in *Input) { in.InPhase = second }, 11 * second, false},
		{"canary phase began very late", func(in *Input) { in.InPhase = second }, 12600 * time.Millisecond, true},
		{"too few new targets", func(in *Input) { in.Targets = in.Targets[:35] }, 12 * second, false},
		{"cold new targets", func(in *Input) {
			in.Targets[25].Cold, in.Targets[26].Cold, in.Targets[27].Cold, in.Targets[28].Cold, in.Targets[29].Cold = true, true, true, true, true
		}, 12 * second, false},
		{"zone out for old and new", func(in *Input) {
			for i := range in.Targets {
				in.Targets[i].Serving = in.Targets[i].Zone != "z1"
			}
		}, 12 * second, true},
		{"not informed", func(in *Input) { in.Informed = false }, 12 * second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			in := newInput(api.RolloutCanary, c.at, 20, 20)
			c.change(in)
			in.Rollout.Canary = in.pickCanaries()
			d := Decide(in)
			is.Equal(d != nil && d.Phase == api.RolloutSwitching, c.switches)
		})
	}
}

// Guards against a completion that cuts off requests of old targets although there is time, and against one that misses
// the deadline.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	in := newInput(api.RolloutSwitching, 12*second, 20, 20)
	in.Rollout.Retired = []string{"v0"}
	in.Targets[3].Version = "v1.1"
	is.Equal(Decide(in), nil) // not quiet for long enough
	in.Quiet = quietTime
	d := Decide(in)
	is.Equal(d.Phase, api.RolloutCompleted)
	is.Equal(d.Retired, []string{"v0", "v1", "v1.1"})

	in.Quiet = 0
	in.Targets[0].Running = 1
	is.True(!in.Finished())
	in.Elapsed = 15200 * time.Millisecond
	is.Equal(Decide(in), nil)
	in.Elapsed = 15300 * time.Millisecond
	is.Equal(Decide(in).Phase, api.RolloutCompleted)
	in.InPhase = second
	is.Equal(Decide(in), nil) // the switch has only begun

	in.Targets[0].Running, in.Targets[0].Partitions = 0, 1
	is.True(!in.Finished())
}

// Guards against a roll-out that never ends because its targets are missing, that is rolled back while it only waits, and
// against one that goes on although the version is bad or its targets are lost.
func TestRollBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		in     *Input
		reason string
	}{
		{"no new target before the deadline", newInput(api.RolloutStarting, 15900*time.Millisecond, 20, 0), ""},
		{"no new target at the deadline", newInput(api.RolloutStarting, 16*second, 20, 0), "no target announced"},
		{"too few new targets at the deadline", newInput(api.RolloutStarting, 16*second, 20, 2), ""},
		{"too few new targets at twice the duration", newInput(api.RolloutStarting, 32*second, 20, 2), "2 of 3 canary targets"},
		{"too few slots at twice the duration", newInput(api.RolloutCanary, 32*second, 20, 10), "new targets have 90 warm slots"},
		{"new targets lost in the switch", newInput(api.RolloutSwitching, 12*second, 20, 7), "lost during the switch"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.in.Rollout.Canary = c.in.pickCanaries()
			d := Decide(c.in)
			if c.reason == "" {
				is.True(d == nil || d.Phase != api.RolloutRolledBack)
				return
			}
			is.Equal(d.Phase, api.RolloutRolledBack)
			is.True(strings.Contains(d.Reason, c.reason))
		})
	}
	is := is.New(t)
	for _, phase := range []api.RolloutPhase{api.RolloutCanary, api.RolloutSwitching} {
		in := newInput(phase, 12*second, 20, 20)
		in.Quiet, in.Verdict, in.Informed = second, Verdict{Bad: true, Reason: "failures"}, false
		is.Equal(*Decide(in), Decision{Phase: api.RolloutRolledBack, Reason: "failures"})
	}
	for _, phase := range []api.RolloutPhase{api.RolloutCompleted, api.RolloutRolledBack} {
		in := newInput(phase, 40*second, 20, 20)
		in.Verdict.Bad = true
		is.Equal(Decide(in), nil)
	}
}

// Guards against a completion while no target is in contact: the old ones would be stopped although no new one serves.
func TestNothingServesInTheSwitch(t *testing.T) {
	is := is.New(t)
	in := newInput(api.RolloutSwitching, 15900*time.Millisecond, 20, 20)
	for i := range in.Targets {
		in.Targets[i].Serving = false
	}
	in.Quiet = second
	is.Equal(Decide(in), nil)
	in.Targets = nil
	is.Equal(Decide(in), nil)
	in.Elapsed = 32 * second
	is.Equal(Decide(in).Phase, api.RolloutRolledBack)
}

// Guards against old targets that are all lost during the roll-out, return after its completion and get requests.
func TestLostOldVersionsAreRetired(t *testing.T) {
	is := is.New(t)
	in := newInput(api.RolloutSwitching, 12*second, 0, 20)
	in.Quiet, in.OldVersions = quietTime, []string{"v1", "v0"}
	is.Equal(Decide(in).Retired, []string{"v0", "v1"})
}
