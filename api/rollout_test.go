package api

import (
	"testing"

	"github.com/matryer/is"
)

// rolloutView returns a view of services "front" (not partitioned) and "back" (partitioned by key) with targets of two
// versions each and one of a third version, whose roll-outs to v2 are in the phase.
func rolloutView(phase RolloutPhase) *View {
	c := &Configuration{Services: Services{Services: []Service{{Name: "front"}, {Name: "back", Key: &KeySource{Header: "K"}, Partitions: 4}}}}
	v := &View{Zone: "a", Configuration: c}
	for _, service := range []string{"front", "back"} {
		r := Rollout{ID: service, Service: service, Version: "v2", Phase: phase, Share: 0.1, Canary: []TargetID{TargetID(service + "-new1"), "lost"}}
		if phase == RolloutCompleted {
			r.Retired = []string{"v1"}
		}
		c.Rollouts = append(c.Rollouts, r)
		for _, t := range []struct{ id, version, zone string }{
			{"old", "v1", "b"}, {"new1", "v2", "b"}, {"new2", "v2", "a"}, {"third", "v3", "a"},
		} {
			id := TargetID(service + "-" + t.id)
			v.Peers = append(v.Peers, Peer{Session: SessionID(id), Zone: t.zone,
				Targets: []PeerTarget{{ID: id, Service: service, Version: t.version, State: TargetServing}}})
		}
	}
	return v
}

func ids(list []TargetAt) (ids []TargetID) {
	for _, t := range list {
		ids = append(ids, t.Target.ID)
	}
	return ids
}

// Guards against requests to targets of a version that the phase of a roll-out does not admit.
func TestIndexAfterEachPhase(t *testing.T) {
	is := is.New(t)
	for phase, want := range map[RolloutPhase]struct{ front, back, canary []TargetID }{
		RolloutStarting:   {[]TargetID{"front-third", "front-old"}, []TargetID{"back-third", "back-old"}, nil},
		RolloutCanary:     {[]TargetID{"front-third", "front-old"}, []TargetID{"back-third", "back-old", "back-new1"}, []TargetID{"front-new1"}},
		RolloutSwitching:  {[]TargetID{"front-new2", "front-new1"}, []TargetID{"back-new2", "back-new1"}, nil},
		RolloutCompleted:  {[]TargetID{"front-new2", "front-third", "front-new1"}, []TargetID{"back-new2", "back-third", "back-new1"}, nil},
		RolloutRolledBack: {[]TargetID{"front-third", "front-old"}, []TargetID{"back-third", "back-old"}, nil},
	} {
		x := NewViewIndex(rolloutView(phase))
		is.Equal(ids(x.TargetsByService["front"]), want.front) // unpartitioned, by phase
		is.Equal(ids(x.TargetsByService["back"]), want.back)
		is.Equal(x.Canaries["back"], (*CanaryTargets)(nil)) // ownership selects the target
		if want.canary == nil {
			is.Equal(x.Canaries["front"], (*CanaryTargets)(nil))
			continue
		}
		is.Equal(ids(x.Canaries["front"].Targets), want.canary)
		is.Equal(x.Canaries["front"].Share, 0.05) // one of two canary targets is left
	}
}

// Guards against a phase that takes effect only when the list of nodes changes.
func TestIndexFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	old := NewViewIndex(rolloutView(RolloutStarting))
	next := rolloutView(RolloutSwitching)
	is.Equal(old.Reindexed(next, false, true, false), NewViewIndex(next))
}
