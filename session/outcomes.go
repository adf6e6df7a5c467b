package session

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// eventOutcomeRoutesSent counts the counts of routes that heartbeats have carried.
const eventOutcomeRoutesSent = "rollout_routes_sent"

// outcomeSync sends the counts of roll-outs with heartbeats, only those that the leader does not have. Counts are
// cumulative, so that one without a reply is sent again with its latest value. It is not safe for concurrent use.
type outcomeSync struct {
	term uint64
	// acknowledged holds the counts that the leader of the term has replied to.
	acknowledged map[outcomeKey]api.RouteOutcome
}

// outcomeKey identifies the counts of a route at a target during a roll-out.
type outcomeKey struct {
	rollout string
	target  api.TargetID
	route   string
}

func keyOf(t *api.TargetOutcomes, r *api.RouteOutcome) outcomeKey {
	return outcomeKey{rollout: t.Rollout, target: t.Target, route: r.Route}
}

// changed returns the counts that differ from the acknowledged ones, and forgets those that are no longer counted.
func (s *outcomeSync) changed(all []api.TargetOutcomes) []api.TargetOutcomes {
	var changed []api.TargetOutcomes
	counted := make(map[outcomeKey]api.RouteOutcome, len(s.acknowledged))
	for i := range all {
		t := all[i]
		t.Routes = nil
		for j := range all[i].Routes {
			r := &all[i].Routes[j]
			had, found := s.acknowledged[keyOf(&t, r)]
			if found {
				counted[keyOf(&t, r)] = had
			}
			if !found || had != *r {
				t.Routes = append(t.Routes, *r)
			}
		}
		if len(t.Routes) > 0 {
			changed = append(changed, t)
			telemetry.CountEvent(eventOutcomeRoutesSent, int64(len(t.Routes)))
		}
	}
	s.acknowledged = counted
	return changed
}

// acknowledge records that the leader of the term has replied to a heartbeat with these counts. Another leader has
// none of the earlier ones.
func (s *outcomeSync) acknowledge(sent []api.TargetOutcomes, term uint64) {
	if term != s.term || s.acknowledged == nil {
		s.term, s.acknowledged = term, make(map[outcomeKey]api.RouteOutcome)
	}
	for i := range sent {
		for j := range sent[i].Routes {
			s.acknowledged[keyOf(&sent[i], &sent[i].Routes[j])] = sent[i].Routes[j]
		}
	}
}

// reset makes the next heartbeat carry all counts, as that of a new session must.
func (s *outcomeSync) reset() { *s = outcomeSync{} }
