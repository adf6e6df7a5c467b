package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// drainedRetention is how long a leader remembers that a target drains after the last report of it. A delayed
// announcement arrives within seconds.
const drainedRetention = 10 * time.Minute

// drainedTarget is a pulling target that was reported as draining.
type drainedTarget struct {
	announced uint64 // sequence of its announcement
	reported  time.Time
}

// keepDrained changes the reports of targets that drain to draining if they rest on an older announcement: a
// node that has restarted does not know the order of announcements, and takes a delayed one for the state of
// the target.
func (l *leader) keepDrained(view *api.ControlState, reports []api.TargetReport, now time.Time) {
	for i := range reports {
		r := &reports[i]
		if r.Place == "" {
			continue // only pulling targets number their announcements
		}
		drained, known := l.drained[r.ID]
		switch {
		case r.State == api.TargetServing && r.StartedMs < max(l.departed[r.Place].beforeMs, view.Places[r.Place].LeftBeforeMs):
			r.State = api.TargetDraining
			l.drained[r.ID] = drainedTarget{api.FinalAnnouncement, now}
		case r.State == api.TargetDraining:
			l.drained[r.ID] = drainedTarget{max(r.Announced, drained.announced), now}
		case known && r.State == api.TargetServing && r.Announced <= drained.announced:
			r.State = api.TargetDraining
			l.drained[r.ID] = drainedTarget{drained.announced, now}
		case known && r.State == api.TargetServing:
			delete(l.drained, r.ID)
		}
	}
}

// departedPlace says that the targets at a place that were started before a time have left.
type departedPlace struct {
	beforeMs int64 // Unix milliseconds
	reported time.Time
}

// recordDepartures keeps what nodes report of targets that they may not know. A target whose node restarts a second
// time before a delayed announcement arrives is known by nothing else.
func (l *leader) recordDepartures(list []api.Departure, now time.Time) {
	for _, d := range list {
		l.departed[d.Place] = departedPlace{max(d.BeforeMs, l.departed[d.Place].beforeMs), now}
		l.placeSeen[d.Place] = now
	}
}

// pruneDrained removes the targets and places that have not been reported for drainedRetention.
func (l *leader) pruneDrained(now time.Time) {
	for id, drained := range l.drained {
		if now.Sub(drained.reported) > drainedRetention {
			delete(l.drained, id)
		}
	}
	for place, departed := range l.departed {
		if now.Sub(departed.reported) > drainedRetention {
			delete(l.departed, place)
		}
	}
}
