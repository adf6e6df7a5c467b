package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// departureRetention is how long a target that has said that it leaves is remembered; it is gone long before.
const departureRetention = 10 * time.Minute

// departures records when this node first passed on a response that says that its target leaves. The node of the
// target ends the work there, too, but may forget: after a restart, or when the target is removed and announced again.
type departures struct {
	// admitFor is how long requests that begin at this node go to such a target; 0 means as long as its node admits them.
	admitFor time.Duration

	mu    sync.RWMutex
	since map[api.TargetID]time.Time
}

// record notes a response that says that the target leaves.
func (d *departures) record(id api.TargetID, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.since[id]; known {
		return
	}
	if d.since == nil {
		d.since = make(map[api.TargetID]time.Time)
	}
	maps.DeleteFunc(d.since, func(_ api.TargetID, since time.Time) bool { return now.Sub(since) > departureRetention })
	d.since[id] = now
}

// over reports whether the target gets no more requests.
func (d *departures) over(id api.TargetID, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	since, known := d.since[id]
	return known && d.admitFor > 0 && now.Sub(since) >= d.admitFor
}
