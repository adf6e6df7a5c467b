package bench

import (
	"context"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/local"
)

const (
	watchInterval = 10 * time.Millisecond
	// changeSpan is the time after a change of an availability zone over which its effect on
	// latency is measured.
	changeSpan = time.Second
)

// watcher follows the map of a deployment while the load runs.
type watcher struct {
	d     *local.Deployment
	start time.Time
	owner map[api.PartitionRef]api.TargetID

	// moved counts changes of the owner of a partition.
	moved int
	// zoneOut and zoneIn are when a node first had the first zone as out, and as back.
	zoneOut, zoneIn time.Duration
	everywhere      bool // all nodes have had the zone as out
	halfRuns        map[api.TargetID]int64
}

func newWatcher(d *local.Deployment, start time.Time) *watcher {
	w := &watcher{d: d, start: start, owner: make(map[api.PartitionRef]api.TargetID)}
	w.look()
	return w
}

// run looks at intervals until ctx ends and notes the runs of the targets at half.
func (w *watcher) run(ctx context.Context, half time.Duration) {
	for wait.For(ctx, watchInterval) {
		w.look()
		if w.halfRuns == nil && time.Since(w.start) >= half {
			w.halfRuns = w.runs()
		}
	}
}

func (w *watcher) look() {
	w.noteZone()
	v := w.d.Nodes[0].View()
	for service, list := range v.Assignments {
		for i, a := range list.All() {
			if a.State == api.Granted {
				w.noteOwner(api.PartitionRef{Service: service, Partition: i}, a.Target)
			}
		}
	}
}

func (w *watcher) noteOwner(ref api.PartitionRef, id api.TargetID) {
	if old, known := w.owner[ref]; known && old != id {
		w.moved++
	}
	w.owner[ref] = id
}

// noteZone counts the nodes that have the zone as out; nodes learn of it at different times.
func (w *watcher) noteZone() {
	out := 0
	for _, n := range w.d.Nodes {
		if c := n.View().Configuration; c != nil && slices.Contains(c.ZonesOut, zoneName(0)) {
			out++
		}
	}
	switch {
	case out > 0 && w.zoneOut == 0:
		w.zoneOut = time.Since(w.start)
	case w.everywhere && out < len(w.d.Nodes) && w.zoneIn == 0:
		w.zoneIn = time.Since(w.start)
	}
	w.everywhere = w.everywhere || out == len(w.d.Nodes)
}

func (w *watcher) runs() map[api.TargetID]int64 {
	runs := make(map[api.TargetID]int64)
	for _, t := range w.d.Targets {
		runs[t.ID()] = t.Counters().Runs
	}
	return runs
}

// imbalance returns max over mean of the runs since half of the time, over the first n targets.
func (w *watcher) imbalance(n int) float64 {
	end := w.runs()
	var sum, most int64
	for _, t := range w.d.Targets[:n] {
		runs := end[t.ID()] - w.halfRuns[t.ID()]
		sum += runs
		most = max(most, runs)
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// lastWork returns how long after the zone was taken out its targets started work.
func (w *watcher) lastWork(starts []time.Duration) time.Duration {
	var last time.Duration
	for _, at := range starts {
		if at > w.zoneOut && (w.zoneIn == 0 || at < w.zoneIn) {
			last = max(last, at-w.zoneOut)
		}
	}
	return last
}

// changing reports whether a request arrived shortly after a change of the zone.
func (w *watcher) changing(at time.Duration) bool {
	for _, change := range []time.Duration{w.zoneOut, w.zoneIn} {
		if change > 0 && at >= change && at < change+changeSpan {
			return true
		}
	}
	return false
}
