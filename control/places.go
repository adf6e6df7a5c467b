package control

import (
	"slices"
	"strings"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// placeRetention is how long the record of a place is kept after the last report of its targets. Announcements arrive seconds
	// late at most. A target whose clock went back counts as a former one until then.
	placeRetention = 30 * time.Second
	// placePruneInterval is the time between two searches for records to forget, which visit all places.
	placePruneInterval = time.Second
	// formerLinesPerSecond bounds the log lines about targets that have ended.
	formerLinesPerSecond = 5
	// eventFormerTarget counts the reports of targets that a later one has replaced.
	eventFormerTarget = "former_target_reported"
)

// withoutFormerTargets returns the reports without those of targets that have ended, since a later one at their place was granted
// partitions. A node that has just started takes a late announcement of such a target for the state of its host, and neither it nor a
// new leader has heard of the later one yet.
func (l *leader) withoutFormerTargets(view *api.ControlState, node string, reports []api.TargetReport, now time.Time) []api.TargetReport {
	return slices.DeleteFunc(reports, func(r api.TargetReport) bool {
		record, known := view.Places[r.Place]
		if !known {
			return false
		}
		if r.StartedMs >= record.StartedMs {
			l.placeSeen[r.Place] = now
			return false
		}
		telemetry.CountEvent(eventFormerTarget, 1)
		if ok, omitted := l.formerLines.Allow(now); ok {
			l.log.WithField("omitted", omitted).WithField("node", node).WithField("target", r.ID).Warn("A target that has ended is reported. Ignoring it.")
		}
		return true
	})
}

// committedDepartures returns the reported departures that are committed, and those of reported targets whose node does not know that
// they have left.
func committedDepartures(view *api.ControlState, req *api.HeartbeatRequest) []api.Departure {
	if len(view.Places) == 0 {
		return nil
	}
	var list []api.Departure
	for _, d := range req.Departures {
		if d.BeforeMs <= view.Places[d.Place].LeftBeforeMs {
			list = append(list, d)
		}
	}
	for _, t := range req.Targets {
		if before := view.Places[t.Place].LeftBeforeMs; t.StartedMs < before && t.Announced != api.FinalAnnouncement {
			list = append(list, api.Departure{Place: t.Place, BeforeMs: before})
		}
	}
	return list
}

// departuresPending reports whether a reported departure is not committed.
func departuresPending(view *api.ControlState, departures []api.Departure) bool {
	return slices.ContainsFunc(departures, func(d api.Departure) bool { return d.BeforeMs > view.Places[d.Place].LeftBeforeMs })
}

// planPlaces adds to the batch the departures to commit and the places to forget.
func (l *leader) planPlaces(view *api.ControlState, now time.Time, batch *state.Batch) {
	for place, departed := range l.departed {
		if departed.beforeMs > view.Places[place].LeftBeforeMs && now.Sub(departed.reported) <= placeRetention && len(batch.Departures) < maxBatchSteps {
			batch.Departures = append(batch.Departures, api.Departure{Place: place, BeforeMs: departed.beforeMs})
		}
	}
	slices.SortFunc(batch.Departures, func(a, b api.Departure) int { return strings.Compare(a.Place, b.Place) })
	if now.Before(l.nextPlacePrune) {
		return
	}
	l.nextPlacePrune = now.Add(placePruneInterval)
	for place := range view.Places {
		seen, known := l.placeSeen[place]
		switch {
		case !known:
			l.placeSeen[place] = now
		case now.Sub(seen) > placeRetention && len(batch.Forgets) < maxBatchSteps:
			batch.Forgets = append(batch.Forgets, place)
		}
	}
	slices.Sort(batch.Forgets)
	for place := range l.placeSeen {
		if _, known := view.Places[place]; !known {
			delete(l.placeSeen, place)
		}
	}
}
