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
func (l *leader) keepDrained(reports []api.TargetReport, now time.Time) {
	for i := range reports {
		r := &reports[i]
		if r.Place == "" {
			continue // only pulling targets number their announcements
		}
		drained, known := l.drained[r.ID]
		switch {
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

// pruneDrained removes the targets that have not been reported for drainedRetention.
func (l *leader) pruneDrained(now time.Time) {
	for id, drained := range l.drained {
		if now.Sub(drained.reported) > drainedRetention {
			delete(l.drained, id)
		}
	}
}
