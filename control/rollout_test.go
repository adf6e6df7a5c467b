package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// rolloutCluster is a sequence of leaders with nodes that have one target each, on an emulated clock.
type rolloutCluster struct {
	*restartCluster
	clock   *rolloutClock // of a member that was not restarted
	nodes   []*rolloutNode
	ordered time.Time
	seconds uint64 // heartbeats so far
}

type rolloutNode struct {
	id            string
	version, zone string
	started       time.Time
	configVersion uint64
	running       int
	outcome       api.RouteOutcome
	failing       bool
}

const (
	rolloutTargets    = 12
	rolloutPartitions = 240
	coldTime          = 3 * time.Second
)

func newRolloutCluster(t *testing.T, divided bool) *rolloutCluster {
	w := &rolloutCluster{restartCluster: newRestartCluster(t), clock: newRolloutClock()}
	w.leader.rolloutClock = w.clock
	service := api.Service{Name: "quotes", Routes: []api.Route{{Name: "quote", Prefix: "/", TimeoutMs: 1000}}}
	if divided {
		service.Key, service.Partitions = &api.KeySource{Header: "Key"}, rolloutPartitions
	}
	w.change(&api.Change{Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{service}}})
	w.start("v1", rolloutTargets)
	w.run(8 * time.Second)
	return w
}

func (w *rolloutCluster) change(c *api.Change) *api.ChangeResult {
	w.t.Helper()
	w.index++
	c.ID, c.BaseVersion = fmt.Sprint(w.index), w.machine.View().Configuration.Version
	data, err := state.EncodeChange(c)
	if err != nil {
		w.t.Fatal(err)
	}
	return w.machine.Apply(w.index, data).(*api.ChangeResult)
}

func (w *rolloutCluster) order(duration time.Duration) {
	w.t.Helper()
	w.ordered = w.now
	r := w.change(&api.Change{Kind: api.StartRollout, Rollout: &api.RolloutOrder{Service: "quotes", Version: "v2", DurationMs: duration.Milliseconds()}})
	if r.Error != nil {
		w.t.Fatal(r.Error)
	}
}

func (w *rolloutCluster) start(version string, n int) {
	for i := range n {
		w.nodes = append(w.nodes, &rolloutNode{id: fmt.Sprintf("%s-%02d", version, i), version: version, zone: fmt.Sprint("z", i%3), started: w.now})
	}
}

// takeOver replaces the leader after a time without one. The member of the new one has a clock unless it was restarted.
func (w *rolloutCluster) takeOver(gap time.Duration, restarted bool) {
	if restarted {
		w.clock = newRolloutClock()
		w.clock.observe(w.machine.View(), w.now)
	}
	w.now = w.now.Add(gap)
	w.newTerm()
	w.leader.rolloutClock = w.clock
}

func (w *rolloutCluster) rollout() *api.Rollout {
	return w.machine.View().Configuration.FindRollout("quotes")
}

// run makes all nodes send heartbeats every 100 ms.
func (w *rolloutCluster) run(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.seconds++
		for _, n := range w.nodes {
			w.beat(n)
		}
		w.clock.observe(w.machine.View(), w.now)
		w.commit(w.tick(w.now))
	}
}

// runUntil runs until the phase, for at most d, and reports whether it was reached.
func (w *rolloutCluster) runUntil(phase api.RolloutPhase, d time.Duration) bool {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		if w.rollout().Phase == phase {
			return true
		}
	}
	return false
}

func (w *rolloutCluster) beat(n *rolloutNode) {
	session := api.SessionID("s-" + n.id)
	view := w.machine.View()
	target := api.TargetID(n.id)
	report := api.TargetReport{ID: target, Service: "quotes", Version: n.version, Zone: n.zone, Slots: 9, State: api.TargetServing,
		Cold: w.now.Sub(n.started) < coldTime, Running: n.running, PartitionLoad: make(map[int]float64)}
	req := &api.HeartbeatRequest{Session: session, Sequence: w.seconds, Term: w.term, Name: n.id, Zone: n.zone, InternalAddr: n.id,
		TokensFull: true, ConfigVersion: n.configVersion}
	for i, a := range view.Assignments["quotes"] {
		if a.Target != target || a.State == api.Unassigned {
			continue
		}
		report.PartitionLoad[i] = 2
		if a.State == api.Releasing {
			req.Released = append(req.Released, api.Released{PartitionRef: api.PartitionRef{Service: "quotes", Partition: i}, Epoch: a.Epoch})
		}
	}
	req.Targets = []api.TargetReport{report}
	if r := w.rollout(); r != nil && !r.Phase.Ended() && r.Admits(target, n.version) {
		n.outcome.Route = "quote"
		n.outcome.Responses += 3
		n.outcome.Latencies[4] += 3
		if n.failing {
			n.outcome.Failures++
		}
		req.Outcomes = []api.TargetOutcomes{{Rollout: r.ID, Target: target, Version: n.version, Routes: []api.RouteOutcome{n.outcome}}}
	}
	if reply, _, err := w.heartbeat(req, w.now, w.now); err == nil {
		n.configVersion = reply.ConfigVersion
	}
}

// owned returns the partitions of old, canary and other new targets.
func (w *rolloutCluster) owned() (old, canary, others int) {
	for _, a := range w.machine.View().Assignments["quotes"] {
		switch {
		case a.State == api.Unassigned:
		case a.Target[:2] == "v1":
			old++
		case w.rollout().IsCanary(a.Target):
			canary++
		default:
			others++
		}
	}
	return old, canary, others
}

// Guards against a roll-out that a change of the leader stops, starts again or lengthens: phase, canary targets and
// elapsed time go on, the time without a leader included. A member that was restarted loses at most the time since the
// last commit and the time without a leader.
func TestRolloutGoesOnUnderNextLeader(t *testing.T) {
	for name, c := range map[string]struct {
		restarted bool
		late      time.Duration
	}{"member with a clock": {false, 0}, "restarted member": {true, elapsedInterval + 800*time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const duration = 12 * time.Second
			w := newRolloutCluster(t, false)
			w.order(duration)
			w.run(1200 * time.Millisecond)
			is.Equal(w.rollout().Phase, api.RolloutStarting)
			w.start("v2", rolloutTargets)
			is.True(w.runUntil(api.RolloutCanary, coldTime+500*time.Millisecond))
			canaries := w.rollout().Canary
			is.Equal(len(canaries), 3)
			w.run(500 * time.Millisecond)
			w.takeOver(800*time.Millisecond, c.restarted)
			w.run(500 * time.Millisecond)
			is.Equal(w.rollout().Phase, api.RolloutCanary)
			is.Equal(w.rollout().Canary, canaries)
			is.True(w.runUntil(api.RolloutSwitching, duration))
			began := w.now.Sub(w.ordered)
			is.True(began >= duration-2500*time.Millisecond && began <= duration-2500*time.Millisecond+200*time.Millisecond+c.late)
			w.nodes[0].running = 1
			w.takeOver(300*time.Millisecond, c.restarted)
			w.run(time.Second)
			is.Equal(w.rollout().Phase, api.RolloutSwitching) // an old target has a request
			w.nodes[0].running = 0
			is.True(w.runUntil(api.RolloutCompleted, time.Second))
			is.True(w.now.Sub(w.ordered) <= duration+c.late)
			is.Equal(w.rollout().Retired, []string{"v1"})
			w.run(200 * time.Millisecond)
			for id, a := range w.leader.rollouts {
				is.True(id == w.rollout().ID && a.counts == nil)
			}
			w.run(resendTime - time.Second)
			is.Equal(len(w.machine.View().RolloutElapsed), 1) // the order may be a resend
			w.run(2 * time.Second)
			is.Equal(len(w.machine.View().RolloutElapsed), 0)
			is.Equal(len(w.leader.rollouts), 0)
		})
	}
}

// Guards against a phase that is complete although a node has not heard of the switch, and sends requests to old targets.
func TestSwitchWaitsForNodesInContact(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, false)
	w.order(12 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutSwitching, 12*time.Second))
	held := w.nodes[5].configVersion
	for range 6 {
		w.nodes[5].configVersion = held - 1
		w.run(100 * time.Millisecond)
		is.Equal(w.rollout().Phase, api.RolloutSwitching)
	}
	is.True(w.runUntil(api.RolloutCompleted, 800*time.Millisecond))
	is.True(w.now.Sub(w.ordered) < 11300*time.Millisecond) // later it is completed for the deadline
}

// Guards against a bad version that is not rolled back although nodes report its failures.
func TestBadVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, false)
	w.order(12 * time.Second)
	w.start("v2", rolloutTargets)
	for _, n := range w.nodes {
		n.failing = n.version == "v2"
	}
	is.True(w.runUntil(api.RolloutRolledBack, 6*time.Second))
	is.True(w.rollout().Reason != "")
	failures := uint64(0)
	for _, n := range w.nodes {
		failures += n.outcome.Failures
	}
	is.True(failures <= 50)

	// Targets of the bad version still drain. A roll-out to the version in force would leave the service without targets.
	is.True(w.allHaveVersion(&api.RolloutOrder{Service: "quotes", Version: "v1"}, w.now))
	is.True(!w.allHaveVersion(&api.RolloutOrder{Service: "quotes", Version: "v2"}, w.now))
	is.True(!w.allHaveVersion(&api.RolloutOrder{Service: "quotes", Version: "v3"}, w.now))
}

// Guards against canary targets that own more or much less than their share of the keys, against partitions of other new
// targets before the switch, and against a completion while old targets own partitions.
func TestPlacementFollowsRollout(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, true)
	w.order(14 * time.Second)
	w.start("v2", rolloutTargets)
	w.run(2 * time.Second)
	old, _, _ := w.owned()
	is.Equal(old, rolloutPartitions)
	is.True(w.runUntil(api.RolloutCanary, 5*time.Second))
	w.run(3 * time.Second)
	_, canary, others := w.owned()
	is.Equal(others, 0)
	is.True(canary >= rolloutPartitions/50 && canary <= rolloutPartitions/18) // a share of 0.04
	is.True(w.runUntil(api.RolloutSwitching, 10*time.Second))
	is.True(w.runUntil(api.RolloutCompleted, 4*time.Second))
	old, _, others = w.owned()
	is.Equal(old, 0)
	is.True(others > rolloutPartitions*9/10)
	is.True(w.now.Sub(w.ordered) < 14*time.Second)
}

// Guards against new targets that keep keys after a rollback.
func TestRollbackReturnsKeys(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, true)
	w.order(14 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutCanary, 5*time.Second))
	w.run(2 * time.Second)
	for _, n := range w.nodes {
		n.failing = n.version == "v2"
	}
	is.True(w.runUntil(api.RolloutRolledBack, 4*time.Second))
	w.run(2 * time.Second)
	old, _, _ := w.owned()
	is.Equal(old, rolloutPartitions)
}

// Guards against a phase change that the splits sent alone hide from nodes.
func TestPhaseChangeIsSentWithSplits(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 7, 128)
	w.apply(t, func() ([]byte, error) {
		return state.EncodeChange(&api.Change{ID: "o", Kind: api.StartRollout,
			Rollout: &api.RolloutOrder{Service: w.service().Name, Version: "v2", DurationMs: 12000}})
	})
	w.updateConfiguration(w.machine.View(), w.now)
	before := w.machine.View().Configuration.Version
	w.apply(t, func() ([]byte, error) {
		r := w.machine.View().Configuration.Rollouts[0]
		return state.EncodeBatch(&state.Batch{Term: w.term, Rollouts: []state.RolloutStep{{ID: r.ID, Service: r.Service, Expected: r.Phase,
			Change: &state.RolloutChange{Phase: api.RolloutCanary, Canary: []api.TargetID{"a"}}}}})
	})
	w.updateConfiguration(w.machine.View(), w.now)
	_, ok := w.splits.since(before)
	is.True(!ok)
	is.True(w.machine.View().Configuration.Version > before)
}

// Guards against a bad version whose targets crash, and whose failures do not count since their node no longer reports
// those targets.
func TestOutcomesOfCrashedTargetsCount(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, false)
	w.order(30 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutCanary, 6*time.Second))
	w.run(time.Second)
	for i := range 3 {
		crashed := api.TargetOutcomes{Rollout: w.rollout().ID, Target: api.TargetID(fmt.Sprint("crashed", i)), Version: "v2",
			Routes: []api.RouteOutcome{{Route: "quote", Responses: 20, Failures: 20}}}
		w.recordOutcomes(w.machine.View(), &api.HeartbeatRequest{Outcomes: []api.TargetOutcomes{crashed}}, w.now)
	}
	is.True(w.runUntil(api.RolloutRolledBack, time.Second))
}

// Guards against canary targets that get the keys of all old targets when these are lost: a version that is not judged
// may get only its share.
func TestCanariesDoNotReplaceLostOldTargets(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, true)
	w.order(40 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutCanary, 6*time.Second))
	w.run(3 * time.Second)
	old := w.nodes[:rolloutTargets]
	w.nodes = w.nodes[rolloutTargets:]
	w.run(10 * time.Second)
	is.Equal(w.rollout().Phase, api.RolloutCanary)
	_, canary, others := w.owned()
	is.Equal(others, 0)
	is.True(canary <= rolloutPartitions/10)
	for _, n := range old {
		n.id += "b" // the hosts return with new targets
	}
	w.nodes = append(w.nodes, old...)
	w.run(5 * time.Second)
	owned, _, _ := w.owned()
	is.True(owned > rolloutPartitions*9/10)
}

// Guards against old targets that are lost during the roll-out, return after its completion and get requests.
func TestReturningOldTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, false)
	w.order(12 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutCanary, 6*time.Second))
	w.nodes = w.nodes[rolloutTargets:]
	is.True(w.runUntil(api.RolloutCompleted, 12*time.Second))
	is.True(!w.rollout().Admits("v1-00", "v1"))
}

// Guards against a completion on reports of old targets from before the last requests were sent to them: a node whose
// heartbeats are late, but which is in contact, may have requests.
func TestCompletionNeedsReportsAfterTheSwitch(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, false)
	w.order(12 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutSwitching, 12*time.Second))
	w.run(200 * time.Millisecond) // all nodes report the phase
	late := w.nodes[0]
	w.nodes = w.nodes[1:]
	w.run(700 * time.Millisecond)
	is.Equal(w.rollout().Phase, api.RolloutSwitching)
	late.running = 1
	w.nodes = append(w.nodes, late)
	w.run(500 * time.Millisecond)
	is.Equal(w.rollout().Phase, api.RolloutSwitching)
	w.nodes = w.nodes[:len(w.nodes)-1]
	is.True(w.runUntil(api.RolloutCompleted, 1500*time.Millisecond)) // out of contact, it is not waited for
}

// Guards against partitions of their own for keys that no target could serve better: canary targets have little load, but
// may get only their share.
func TestCanariesMakeNoKeyHot(t *testing.T) {
	is := is.New(t)
	w := newRolloutCluster(t, true)
	w.order(30 * time.Second)
	w.start("v2", rolloutTargets)
	is.True(w.runUntil(api.RolloutCanary, 6*time.Second))
	w.run(3500 * time.Millisecond)
	key := ""
	for i := 0; key == ""; i++ {
		k := fmt.Sprint("k", i)
		if a := w.machine.View().Assignments["quotes"][api.PartitionOf(k, rolloutPartitions)]; a.Target == "v1-00" && a.State == api.Granted {
			key = k
		}
	}
	w.sessions["s-v1-00"].last.Targets[0].HotKeys = []api.HotKey{{Key: key, Load: 12}}
	w.nextBalance = w.now
	is.Equal(len(w.plan(w.machine.View(), w.now).Overrides), 0)
}
