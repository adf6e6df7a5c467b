package session

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// routeCounts returns the counts of one target, with as many responses as given by route.
func routeCounts(responses map[string]uint64) []api.TargetOutcomes {
	t := api.TargetOutcomes{Rollout: "r", Target: "t", Version: "v2"}
	for _, route := range []string{"a", "b"} {
		if n, found := responses[route]; found {
			t.Routes = append(t.Routes, api.RouteOutcome{Route: route, Responses: n})
		}
	}
	return []api.TargetOutcomes{t}
}

// sentRoutes returns the responses by route in a heartbeat.
func sentRoutes(sent []api.TargetOutcomes) map[string]uint64 {
	routes := make(map[string]uint64)
	for _, t := range sent {
		for _, r := range t.Routes {
			routes[r.Route] = r.Responses
		}
	}
	return routes
}

// Guards against counts that a lost heartbeat loses, that are sent again without a change, and that another leader
// does not get.
func TestOutcomesAreSentUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	var s outcomeSync
	first := s.changed(routeCounts(map[string]uint64{"a": 1, "b": 1})) // lost
	is.Equal(sentRoutes(first), map[string]uint64{"a": 1, "b": 1})
	second := s.changed(routeCounts(map[string]uint64{"a": 2, "b": 1}))
	is.Equal(sentRoutes(second), map[string]uint64{"a": 2, "b": 1})
	s.acknowledge(second, 1)
	is.Equal(len(s.changed(routeCounts(map[string]uint64{"a": 2, "b": 1}))), 0)
	third := s.changed(routeCounts(map[string]uint64{"a": 2, "b": 4}))
	is.Equal(sentRoutes(third), map[string]uint64{"b": 4})
	s.acknowledge(third, 2) // another leader, which has not got a
	is.Equal(sentRoutes(s.changed(routeCounts(map[string]uint64{"a": 2, "b": 4}))), map[string]uint64{"a": 2})

	is.Equal(len(s.changed(nil)), 0) // the roll-out has ended
	is.Equal(len(s.acknowledged), 0)
	is.Equal(sentRoutes(s.changed(routeCounts(map[string]uint64{"a": 1}))), map[string]uint64{"a": 1})
}

// Guards against a session that acknowledges counts of a heartbeat that was refused, or keeps those of its predecessor.
func TestHeartbeatsCarryOutcomes(t *testing.T) {
	is := is.New(t)
	c := startControl(t)
	c.set(func(*api.HeartbeatRequest, *api.HeartbeatReply) error {
		return errkind.New(errkind.NoQuorum, "not yet")
	})
	o := Options{Outcomes: func() []api.TargetOutcomes { return routeCounts(map[string]uint64{"a": 1}) }}
	s, _, _ := startSession(t, o, c.address)
	sent := func() bool { return len(c.last().Outcomes) == 1 }
	eventually(t, "two refused heartbeats", func() bool { return len(c.requests()) >= 2 && sent() })
	c.set(leaderReply(1, 1))
	eventually(t, "lease", s.valid)
	eventually(t, "heartbeat without counts", func() bool { return !sent() })
	c.set(leaderReply(2, 1))
	eventually(t, "counts for another leader", sent)
	eventually(t, "heartbeat without counts", func() bool { return !sent() })
	c.set(func(*api.HeartbeatRequest, *api.HeartbeatReply) error {
		return errkind.New(errkind.UnknownMember, "ended")
	})
	eventually(t, "counts of a new session", sent)
	is.True(s.View().Session != "")
}
