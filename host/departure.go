package host

import (
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// departureRetention is how long a departure is remembered: announcements may arrive seconds late.
const departureRetention = 30 * time.Second

// departureResend is how long after a departure another one of the instance is the same statement, sent again.
const departureResend = 10 * time.Second

// departure is an acknowledged statement that an instance leaves. It holds for all targets of that name that were
// started before it, also for one whose first announcement to this process arrives later.
type departure struct {
	address string
	at      time.Time
	// beforeMs bounds the starts that it holds for, in Unix milliseconds: that of the target that has left, or, if that is
	// not known, the time of day of the departure.
	beforeMs int64
	// kept is closed once the control group has committed the departure.
	kept chan struct{}
}

// isKept reports whether the control group has committed the departure.
func (d departure) isKept() bool {
	select {
	case <-d.kept:
		return true
	default:
		return false
	}
}

// covers reports whether the departure is that of the target.
func (d departure) covers(a api.Announcement) bool {
	return d.address == a.Address && a.StartedMs < d.beforeMs
}

// InstanceLeaves notes that the pulling target that runs under the instance name at the address leaves for ever. The
// target need not be known: its node may have restarted, and its last announcements may be delayed. kept is closed once the
// control group has committed the departure: until then, a restart of this process and of the leader may forget it.
func (r *Registry) InstanceLeaves(instance, address string) (kept <-chan struct{}) {
	now := time.Now()
	beforeMs := now.UnixMilli()
	if known := r.Lookup(r.LatestInstance(instance)); known != nil {
		beforeMs = known.info.StartedMs + 1
	}
	r.mu.Lock()
	for name, d := range r.departures {
		if now.Sub(d.at) > departureRetention {
			delete(r.departures, name)
		}
	}
	d, known := r.departures[instance]
	// A statement that is sent again keeps its time; the target may have become known in between.
	if !known || d.address != address || now.Sub(d.at) > departureResend {
		d = departure{address: address, at: now, beforeMs: beforeMs, kept: make(chan struct{})}
		r.departures[instance] = d
	}
	r.mu.Unlock()
	// Looked up again: it may just have been added.
	if id := r.LatestInstance(instance); id != "" {
		r.MarkLeaving(id)
	} else {
		telemetry.Logger("host").WithField("instance", instance).Info("A target that is not known leaves.")
	}
	r.o.Wake()
	return d.kept
}

// ApplyDepartures notes the departures that the control group has committed. A target that has left and was announced late to this
// process, which does not know that it has, gets no more requests.
func (r *Registry) ApplyDepartures(list []api.Departure) {
	r.mu.Lock()
	for _, d := range r.departures {
		if slices.Contains(list, api.Departure{Place: r.place(d.address), BeforeMs: d.beforeMs}) && !d.isKept() {
			close(d.kept)
		}
	}
	r.mu.Unlock()
	for _, t := range r.all() {
		if slices.ContainsFunc(list, func(d api.Departure) bool {
			return t.info.Pulls && d.Place == r.place(t.info.Address) && t.info.StartedMs < d.BeforeMs
		}) {
			t.markLeft()
		}
	}
}

// markLeft marks a target that has left for ever, at a time that is not known and long ago: others have given up the time for which
// it would still get requests.
func (t *Target) markLeft() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pulled.leaving {
		return
	}
	t.pulled.leaving = true
	t.setDraining(true)
	t.pulled.drainingSince = time.Now().Add(-t.r.o.DrainAdmitLimit)
	t.wake()
}

// applyDeparture marks a target that is about to be added if it has left. The caller holds r.mu.
func (r *Registry) applyDeparture(t *Target) {
	if d, ok := r.departures[t.info.Instance]; ok && d.covers(t.info) {
		t.draining, t.pulled.leaving, t.pulled.drainingSince = true, true, d.at
		telemetry.Logger("host").WithField("target", t.info.ID).Info("A target that has left is announced late.")
	}
}

// Departures returns the departures for the control leader, which keeps them over a restart of this process.
func (r *Registry) Departures() []api.Departure {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []api.Departure
	for _, d := range r.departures {
		if time.Since(d.at) <= departureRetention {
			list = append(list, api.Departure{Place: r.place(d.address), BeforeMs: d.beforeMs})
		}
	}
	return list
}

// place names an address on this host, where only one instance runs at a time.
func (r *Registry) place(address string) string { return r.o.Host + "/" + address }
