package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/tokens"
)

// leader is the volatile state of one term as leader. The loop owns it.
type leader struct {
	o    *Options
	log  *logrus.Entry
	term uint64
	// ready says that the first batch of the term has been applied.
	ready    bool
	inFlight bool
	retryAt  time.Time
	// waitUntil is one lease plus margin after the start of the term. Until then sessions
	// that this leader has not heard of may hold a lease.
	waitUntil time.Time
	// planFrom is the end of the time in which nodes turn to a new leader. A plan before it would
	// give everything to the first targets that are reported.
	planFrom time.Time

	sessions map[api.SessionID]*session
	// opening holds the sessions that asked for a lease and are not yet in the log.
	opening map[api.SessionID]struct{}
	// unheard says until when an open session may stay unheard of.
	unheard map[api.SessionID]time.Time
	// tokensWait says that nodes unknown to the authority may hold tokens of an earlier leader.
	tokensWait    bool
	authority     *tokens.Authority
	configVersion uint64

	peers      *peerList
	peersDirty bool

	// packedConfiguration is the configuration of packedVersion as heartbeats carry it.
	packedConfiguration api.PackedConfiguration
	packedVersion       uint64

	// released holds the releases that nodes have reported.
	released map[api.PartitionRef]api.Released
	// intended holds the target that a partition is being moved to.
	intended map[api.PartitionRef]api.TargetID
	// evacuating holds since when a service has partitions on targets that must lose them.
	evacuating map[string]time.Time
	// holds says from when on an override may leave its first owner.
	holds map[api.PartitionRef]time.Time
	// fresh holds the splits whose parts have not been measured, by the partition that was divided.
	fresh map[api.PartitionRef]*freshSplit
	// speeds holds the speeds of targets that differ from the usual one of their service.
	speeds      map[api.TargetID]float64
	nextBalance time.Time
}

func newLeader(o *Options, log *logrus.Entry, term uint64, now time.Time) *leader {
	span := o.Lease + o.DriftMargin
	return &leader{
		o:          o,
		log:        log,
		term:       term,
		waitUntil:  now.Add(span),
		planFrom:   now.Add(min(span, o.PlanDelay)),
		sessions:   make(map[api.SessionID]*session),
		opening:    make(map[api.SessionID]struct{}),
		unheard:    make(map[api.SessionID]time.Time),
		tokensWait: true,
		authority:  tokens.NewAuthority(now, span, o.RateTolerance),
		released:   make(map[api.PartitionRef]api.Released),
		intended:   make(map[api.PartitionRef]api.TargetID),
		evacuating: make(map[string]time.Time),
		holds:      make(map[api.PartitionRef]time.Time),
		fresh:      make(map[api.PartitionRef]*freshSplit),
		speeds:     make(map[api.TargetID]float64),
		peers:      newPeerList(term),
	}
}

// waiting says whether sessions unknown to this leader may still hold a lease.
func (l *leader) waiting(now time.Time) bool { return now.Before(l.waitUntil) }

// tick expires sessions and returns the steps to commit.
func (l *leader) tick(now time.Time) *state.Batch {
	view := l.o.Machine.View()
	l.followConfiguration(view, now)
	l.authority.Advance(now)
	l.expire(view, now)
	l.endTokensWait(view, now)
	l.reserveSilent(view, now)
	batch := &state.Batch{Term: l.term}
	if !now.Before(l.planFrom) || l.allPlacesHeard(view) {
		batch = l.plan(view, now)
	}
	l.planSessions(view, now, batch)
	return batch
}

// allPlacesHeard says whether a target is reported for every place that owns something by the log:
// then nothing is gained by waiting for more nodes.
func (l *leader) allPlacesHeard(view *api.ControlState) bool {
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

func (l *leader) followConfiguration(view *api.ControlState, now time.Time) {
	if view.Configuration.Version == l.configVersion {
		return
	}
	l.configVersion = view.Configuration.Version
	l.authority.SetOrganisations(now, view.Configuration.Organisations)
	l.peersDirty = true
}
