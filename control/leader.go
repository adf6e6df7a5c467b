package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
	"github.com/zinniapier/zinniapier/tokens"
)

// leader is the volatile state of one term as leader. It is used on the control loop only.
type leader struct {
	o    *Options
	log  *logrus.Entry
	term uint64
	// ready is set once the first batch of the term has been applied.
	ready    bool
	inFlight bool
	retryAt  time.Time
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Time
	// earlierLeasesEnd is one lease plus the drift margin after the start of the term. Until then
	// a session that has not reported to this leader may hold a lease from an earlier leader.
	earlierLeasesEnd time.Time
	// firstPlanAt gives all nodes time to report to a new leader. An earlier plan would give
	// every partition to the first targets reported.
	firstPlanAt time.Time

	sessions map[api.SessionID]*session
	// opening holds the sessions that requested a lease and are not in the log yet.
	opening map[api.SessionID]struct{}
	// notYetReported maps an open session without a heartbeat to the time at which it is closed.
	notYetReported map[api.SessionID]time.Time
	// tokensWithheld is set while nodes that have not reported may hold tokens of an earlier leader; the
	// authority then issues for waiting requests only.
	tokensWithheld bool
	authority      *tokens.Authority
	configVersion  uint64

	peers      *peerList
	peersDirty bool

	// packed caches a configuration as encoded for heartbeat replies.
	packed packedCache
	splits splitLog
	maps   mapCache

	// released holds the released grants that nodes reported.
	released map[api.PartitionRef]api.Released
	// moveDestinations maps a partition that is being moved to its receiving target.
	moveDestinations map[api.PartitionRef]api.TargetID
	// evacuatingSince maps a service to the time since when it has partitions on targets that
	// must lose them.
	evacuatingSince map[string]time.Time
	// overridesHeldUntil maps an override's partition to the time from which it may be moved.
	overridesHeldUntil map[api.PartitionRef]time.Time
	// recentSplits holds the splits whose parts have no measured load yet, by the partition split.
	recentSplits map[api.PartitionRef]*recentSplit
	// speedsInUse holds the relative speeds of targets; a target without an entry has speed 1.
	speedsInUse map[api.TargetID]float64
	nextBalance time.Time
	drained     map[api.TargetID]drainedTarget
	departed    map[string]departedPlace // by place
	// placeSeen holds when a present target of a place, or a departure, was last reported.
	placeSeen      map[string]time.Time
	nextPlacePrune time.Time
	formerLines    telemetry.Limiter
	// firstTargetAt holds, by service without any assignment, when its first target was eligible.
	firstTargetAt map[string]time.Time
	rolloutClock  *rolloutClock
	rollouts      map[string]*activeRollout // by id; the running ones, and ended ones that may be ordered again
	nextRollouts  time.Time
}

func newLeader(o *Options, log *logrus.Entry, term uint64, now time.Time) *leader {
	leaseSpan := o.Lease + o.DriftMargin
	return &leader{
		o:                  o,
		log:                log,
		term:               term,
		earlierLeasesEnd:   now.Add(leaseSpan),
		firstPlanAt:        now.Add(min(leaseSpan, o.PlanDelay)),
		sessions:           make(map[api.SessionID]*session),
		opening:            make(map[api.SessionID]struct{}),
		notYetReported:     make(map[api.SessionID]time.Time),
		tokensWithheld:     true,
		authority:          tokens.NewAuthority(now, leaseSpan, o.RateTolerance),
		released:           make(map[api.PartitionRef]api.Released),
		moveDestinations:   make(map[api.PartitionRef]api.TargetID),
		evacuatingSince:    make(map[string]time.Time),
		overridesHeldUntil: make(map[api.PartitionRef]time.Time),
		recentSplits:       make(map[api.PartitionRef]*recentSplit),
		speedsInUse:        make(map[api.TargetID]float64),
		drained:            make(map[api.TargetID]drainedTarget),
		departed:           make(map[string]departedPlace),
		placeSeen:          make(map[string]time.Time),
		formerLines:        telemetry.Limiter{PerSecond: formerLinesPerSecond},
		firstTargetAt:      make(map[string]time.Time),
		peers:              newPeerList(term),
		rolloutClock:       newRolloutClock(),
		rollouts:           make(map[string]*activeRollout),
	}
}

// earlierLeasesMayHold reports whether a session that has not reported to this leader may still
// hold a lease from an earlier leader.
func (l *leader) earlierLeasesMayHold(now time.Time) bool { return now.Before(l.earlierLeasesEnd) }

// tick expires sessions and returns the steps to commit.
func (l *leader) tick(now time.Time) *state.Batch {
	view := l.o.Machine.View()
	l.updateConfiguration(view, now)
	l.authority.Advance(now)
	l.expireSessions(view, now)
	l.pruneDrained(now)
	l.endTokenWithholding(view, now)
	l.reserveForUnresponsive(view, now)
	batch := &state.Batch{Term: l.term}
	if !now.Before(l.nextPlan) && (!now.Before(l.firstPlanAt) || l.allOwnersReported(view)) {
		began := time.Now()
		batch = l.plan(view, now)
		l.nextPlan = now.Add(untilNextPlan(time.Since(began)))
	}
	l.planSessions(view, now, batch)
	l.planRollouts(view, now, batch)
	l.planPlaces(view, now, batch)
	return batch
}

// untilNextPlan returns the time from the start of a plan that took as long as given to the start of the next.
func untilNextPlan(took time.Duration) time.Duration {
	return took + min((planDivisor-1)*took, maxPlanPause)
}

// allOwnersReported reports whether partitions are assigned and a target is reported at the address
// of every owner. A new leader then need not wait for more nodes before it plans.
func (l *leader) allOwnersReported(view *api.ControlState) bool {
	reported := make(map[string]bool)
	for _, s := range l.sessions {
		for _, t := range s.last.Targets {
			reported[t.Place] = true
		}
	}
	owned := false
	for _, list := range view.Assignments {
		for _, a := range list {
			if a.State == api.Unassigned {
				continue
			}
			if a.Place == "" || !reported[a.Place] {
				return false
			}
			owned = true
		}
	}
	return owned
}

// updateConfiguration applies a new configuration version to the authority and the list of nodes.
func (l *leader) updateConfiguration(view *api.ControlState, now time.Time) {
	if view.Configuration.Version == l.configVersion {
		return
	}
	l.configVersion = view.Configuration.Version
	l.splits.observe(&view.Configuration)
	l.authority.SetOrganisations(now, view.Configuration.Organisations)
	l.peersDirty = true
}
