// Package rollout decides the phases of roll-outs and judges new versions. It does no I/O and takes the time as an
// argument; package control supplies its input and commits its decisions.
package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// usualShare is the share of a service's requests that canary targets get, if the limits allow it.
	usualShare = 0.04
	// minCanaries is the least number of canary targets, so that one of them can be left out of a judgement.
	minCanaries = 3
	// minNewSlots is the part of the old slots that the new targets must have before the switch.
	minNewSlots = 0.8
	// minRemainingSlots is the part of the old slots below which new targets are lost during the switch.
	minRemainingSlots = 0.4
	// settleTime is the time beyond the longest timeout that a switch takes until the phase has reached all nodes
	// and the old targets have finished.
	settleTime = 1500 * time.Millisecond
	// keySettleTime is what moving all keys adds to settleTime.
	keySettleTime = 2 * time.Second
	// minCanaryTime is the time that the canary targets get before the switch, even if it begins late because of it.
	// In 2 s a canary of a tenth of the usual load gets some ten requests.
	minCanaryTime = 2 * time.Second
	// latestSwitch is the time before the deadline up to which minCanaryTime delays the switch.
	latestSwitch = 3500 * time.Millisecond
	// quietTime is the time for which the old targets must have had no requests. A request that was on its way
	// between two nodes arrives within it.
	quietTime = 300 * time.Millisecond
	// deadlineMargin is the time before the deadline at which a switch is completed although old targets still have
	// requests. It covers the commit and the time in which the order was on its way.
	deadlineMargin = 700 * time.Millisecond
	// minSwitchTime is the least duration of a switch with unfinished work, also beyond the deadline.
	minSwitchTime = 1500 * time.Millisecond
)

// Default limits.
const (
	DefaultCanaryShare = 0.1
	DefaultCanarySlack = 50
	DefaultRollback    = 5 * time.Second
)

// Limits bound what a bad version may get. The zero value stands for the default limits.
type Limits struct {
	// CanaryShare bounds the share of a service's requests that a bad version may get between order and deadline.
	CanaryShare float64
	// CanarySlack is the number of requests beyond that share.
	CanarySlack float64
	// Rollback is the time after the CanarySlack-th bad response from which a bad version may get nothing.
	Rollback time.Duration
}

// OrDefault returns the limits, or the default ones for the zero value.
func (l Limits) OrDefault() Limits {
	if l == (Limits{}) {
		return Limits{DefaultCanaryShare, DefaultCanarySlack, DefaultRollback}
	}
	return l
}

// share returns the canary share: half of the bound at most, since targets are chosen at random and keys differ in
// load.
func (l Limits) share() float64 { return min(usualShare, l.CanaryShare/2) }

// Target is a target of the service that is rolled out.
type Target struct {
	ID      api.TargetID
	Zone    string
	Version string
	Slots   int
	// Serving says that the target takes requests: it is in contact, not draining, and neither it nor its
	// availability zone is out.
	Serving bool
	Cold    bool
	// Running is the number of requests that run or wait at the target.
	Running int
	// Partitions is the number of partitions that the target owns, those that it is releasing included.
	Partitions int
}

// Input is what a decision rests on.
type Input struct {
	Rollout *api.Rollout
	Limits  Limits
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// InPhase is the time for which this leader has known the phase.
	InPhase time.Duration
	// LongestTimeout is that of the routes of the service.
	LongestTimeout time.Duration
	// Divided says that the service is partitioned by key.
	Divided bool
	// Informed says that the leader has heard from the nodes since it took over.
	Informed bool
	Targets  []Target
	// OldVersions are the versions of the old targets that this leader has seen during the roll-out, lost ones included.
	OldVersions []string
	Verdict     Verdict
	// Quiet is the time for which Finished has held without interruption and all nodes in contact have had the
	// phase.
	Quiet time.Duration
}

// Decision is a change of a roll-out.
type Decision struct {
	Phase   api.RolloutPhase
	Share   float64
	Canary  []api.TargetID
	Retired []string
	Reason  string
}

// Decide returns the change that is due, or nil.
func Decide(in *Input) *Decision {
	r := in.Rollout
	switch {
	case r.Phase.Ended():
		return nil
	case in.Verdict.Bad:
		return rollBack(in.Verdict.Reason)
	case !in.Informed:
		return nil
	case r.Phase == api.RolloutSwitching:
		return in.decideSwitching()
	case in.Elapsed >= 2*r.Duration():
		return rollBack(in.waitReason())
	case r.Phase == api.RolloutStarting:
		return in.decideStarting()
	}
	return in.decideCanary()
}

func rollBack(reason string) *Decision {
	return &Decision{Phase: api.RolloutRolledBack, Reason: reason}
}

// decideStarting begins the canary phase once enough new targets are warm.
func (in *Input) decideStarting() *Decision {
	if in.Elapsed >= in.Rollout.Duration() && !slices.ContainsFunc(in.Targets, in.isNew) {
		return rollBack(fmt.Sprintf("no target announced version %q before the deadline", in.Rollout.Version))
	}
	if len(in.ready()) < in.canaryCount() {
		return nil
	}
	return in.canaryDecision()
}

func (in *Input) canaryDecision() *Decision {
	return &Decision{Phase: api.RolloutCanary, Share: in.Limits.share(), Canary: in.pickCanaries()}
}

// decideCanary begins the switch when it is due, or replaces canary targets that cannot serve any more.
func (in *Input) decideCanary() *Decision {
	newSlots, oldSlots := in.slots(true), in.slots(false)
	if in.Elapsed >= in.switchAt() && newSlots > 0 && float64(newSlots) >= minNewSlots*float64(oldSlots) {
		return &Decision{Phase: api.RolloutSwitching}
	}
	canaries := in.pickCanaries()
	if len(canaries) >= len(in.Rollout.Canary) && !slices.Equal(canaries, in.Rollout.Canary) {
		return in.canaryDecision()
	}
	return nil
}

// decideSwitching completes the roll-out once the old targets have finished, and shortly before the deadline although
// they have not: the deadline takes precedence over the requests that still run.
func (in *Input) decideSwitching() *Decision {
	newSlots, oldSlots := in.servingSlots(true), in.servingSlots(false)
	if newSlots == 0 && oldSlots == 0 {
		// Completed, the roll-out would end old targets that are only out of contact.
		if in.Elapsed < 2*in.Rollout.Duration() {
			return nil
		}
		return rollBack("no target is serving after twice the duration")
	}
	if float64(newSlots) < minRemainingSlots*float64(oldSlots) {
		return rollBack(fmt.Sprintf("new targets lost during the switch: %d of %d slots", newSlots, oldSlots))
	}
	overdue := in.Elapsed >= in.Rollout.Duration()-deadlineMargin && in.InPhase >= minSwitchTime
	if in.Quiet < quietTime && !overdue {
		return nil
	}
	retired := slices.Clone(in.OldVersions)
	for _, t := range in.Targets {
		if !in.isNew(t) {
			retired = append(retired, t.Version)
		}
	}
	slices.Sort(retired)
	retired = slices.DeleteFunc(slices.Compact(retired), func(v string) bool { return slices.Contains(in.Rollout.Retired, v) })
	return &Decision{Phase: api.RolloutCompleted, Retired: append(slices.Clone(in.Rollout.Retired), retired...)}
}

// Finished reports whether no old target has requests or owns partitions.
func (in *Input) Finished() bool {
	running, partitions := in.Unfinished()
	return running == 0 && partitions == 0
}

// Unfinished returns the requests and the partitions of the old targets.
func (in *Input) Unfinished() (running, partitions int) {
	for _, t := range in.Targets {
		if !in.isNew(t) {
			running += t.Running
			partitions += t.Partitions
		}
	}
	return running, partitions
}

// switchAt returns the time after the order at which the switch begins. An earlier switch would expose callers to a
// version that turns bad late.
func (in *Input) switchAt() time.Duration {
	duration := in.Rollout.Duration()
	ahead := in.LongestTimeout + settleTime
	if in.Divided {
		ahead += keySettleTime
	}
	at := duration - min(ahead, duration/2)
	canarySince := in.Elapsed - in.InPhase
	return max(at, min(canarySince+minCanaryTime, duration-latestSwitch))
}

func (in *Input) isNew(t Target) bool { return t.Version == in.Rollout.Version }

// ready returns the new targets that can be canaries.
func (in *Input) ready() (list []Target) {
	for _, t := range in.Targets {
		if in.isNew(t) && t.Serving && !t.Cold {
			list = append(list, t)
		}
	}
	return list
}

// slots returns the slots of the new targets that are warm, or of the old ones.
func (in *Input) slots(isNew bool) int {
	if isNew {
		return sumSlots(in.ready())
	}
	return in.servingSlots(false)
}

// servingSlots returns the slots of the new or old targets, cold ones included.
func (in *Input) servingSlots(isNew bool) int {
	var list []Target
	for _, t := range in.Targets {
		if t.Serving && in.isNew(t) == isNew {
			list = append(list, t)
		}
	}
	return sumSlots(list)
}

func sumSlots(list []Target) (sum int) {
	for _, t := range list {
		sum += t.Slots
	}
	return sum
}

// canaryCount returns the number of canary targets, such that each carries about the load of an old one.
func (in *Input) canaryCount() int {
	old := 0
	for _, t := range in.Targets {
		if t.Serving && !in.isNew(t) {
			old++
		}
	}
	count := max(minCanaries, int(math.Ceil(usualShare*float64(old))))
	return max(1, min(count, old))
}

// pickCanaries returns canary targets in order of their ids: the present ones that are ready, and others that are
// spread over availability zones.
func (in *Input) pickCanaries() []api.TargetID {
	candidates := in.ready()
	inZone := make(map[string]int)
	var picked []api.TargetID
	take := func(t Target) {
		picked = append(picked, t.ID)
		inZone[t.Zone]++
	}
	count := in.canaryCount()
	rest := slices.DeleteFunc(candidates, func(t Target) bool {
		if !slices.Contains(in.Rollout.Canary, t.ID) || len(picked) >= count {
			return false
		}
		take(t)
		return true
	})
	for len(picked) < count && len(rest) > 0 {
		next := slices.MinFunc(rest, func(a, b Target) int {
			return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
		})
		take(next)
		rest = slices.DeleteFunc(rest, func(t Target) bool { return t.ID == next.ID })
	}
	slices.Sort(picked)
	return picked
}

// waitReason says what a roll-out has waited for.
func (in *Input) waitReason() string {
	return fmt.Sprintf("new targets have %d warm slots after twice the duration, old ones %d; %d of %d canary targets are ready",
		in.slots(true), in.slots(false), min(len(in.ready()), in.canaryCount()), in.canaryCount())
}

// Slots returns the slots of warm new and of old targets, and the number of new targets that can be canaries.
func (in *Input) Slots() (newSlots, oldSlots, ready int) {
	return in.slots(true), in.slots(false), len(in.ready())
}
