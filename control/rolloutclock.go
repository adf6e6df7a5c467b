package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// rolloutClock measures the time since the order of each roll-out without the wall clock. Every member keeps one, so that
// a new leader counts on from when it applied the last committed time, the time without a leader included.
type rolloutClock struct {
	observed map[string]observedElapsed // by roll-out id
}

// observedElapsed is an elapsed time and when it was applied. It is at most the true one, since it is applied after it
// was measured.
type observedElapsed struct {
	elapsed time.Duration
	at      time.Time
}

func newRolloutClock() *rolloutClock {
	return &rolloutClock{observed: make(map[string]observedElapsed)}
}

// observe applies the committed times. A committed time below the one that has been counted is a later measurement of
// a member that has applied entries late.
func (c *rolloutClock) observe(view *api.ControlState, now time.Time) {
	for id, ms := range view.RolloutElapsed {
		committed := time.Duration(ms) * time.Millisecond
		if o, known := c.observed[id]; !known || committed > o.elapsed+now.Sub(o.at) {
			c.observed[id] = observedElapsed{committed, now}
		}
	}
	for id := range c.observed {
		if _, known := view.RolloutElapsed[id]; !known {
			delete(c.observed, id)
		}
	}
}

// elapsed returns the time since the order of the roll-out; 0 if it is not known.
func (c *rolloutClock) elapsed(id string, now time.Time) time.Duration {
	o, known := c.observed[id]
	if !known {
		return 0
	}
	return o.elapsed + now.Sub(o.at)
}
