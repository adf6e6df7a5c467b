package host

import (
	"net/http"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// clockReading pairs the target's clock with the node's time at which the reading arrived.
// The target read its clock earlier than that.
type clockReading struct {
	ms int64
	at time.Time
}

// Target is one instance of a target beside the node. It is safe for concurrent use.
type Target struct {
	r      *Registry
	info   api.Announcement
	gate   Gate
	client *http.Client
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once

	mu        sync.Mutex
	announced time.Time
	clock     clockReading
	draining  bool
	lost      bool
	lostAt    time.Time
	replaced  bool // another instance has taken the address
	refused   bool // the last order or probe found no listener
	running   int  // attempts in flight
	grants    map[int]*grant
	orders    orderState
	pulled    pullState
	// delivered is closed and replaced when an order has been acknowledged.
	delivered chan struct{}
	seen      mapVersion
	meter     *meter
}

// mapVersion names the assignments that a target has taken over.
type mapVersion struct {
	session api.SessionID
	version uint64
}

func newTarget(r *Registry, a api.Announcement, arrived time.Time) *Target {
	return &Target{
		r:         r,
		info:      a,
		gate:      r.o.NewGate(a),
		client:    ordersClient(),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		announced: arrived,
		clock:     clockReading{ms: a.ClockMs, at: arrived},
		grants:    make(map[int]*grant),
		orders:    orderState{version: 1},
		delivered: make(chan struct{}),
		meter:     newMeter(arrived),
		pulled:    pullState{changed: make(chan struct{})},
	}
}

// Info returns the first announcement of the target, with defaults filled in.
func (t *Target) Info() api.Announcement { return t.info }

// Gate returns the admission at the target.
func (t *Target) Gate() Gate { return t.gate }

// State returns the state that heartbeats report.
func (t *Target) State() api.TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state()
}

func (t *Target) state() api.TargetState {
	switch {
	case t.lost:
		return api.TargetLost
	case t.draining:
		return api.TargetDraining
	default:
		return api.TargetServing
	}
}

func (t *Target) report(now time.Time) api.TargetReport {
	load, cold := t.gate.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	partitions, hot := t.meter.read(now)
	return api.TargetReport{
		ID:            t.info.ID,
		Service:       t.info.Service,
		Zone:          t.r.o.Zone,
		Slots:         t.info.Slots,
		State:         t.state(),
		Cold:          cold,
		Load:          rounded(load),
		ServiceMs:     t.gate.ServiceTime().Milliseconds(),
		PartitionLoad: partitions,
		HotKeys:       hot,
		Place:         t.place(),
		StartedMs:     t.info.StartedMs,
	}
}

// place names the address of a pulling target, where only one instance runs at a time.
func (t *Target) place() string {
	if !t.info.Pulls {
		return ""
	}
	return t.r.o.Host + "/" + t.info.Address
}

// kick makes the loop of the target run at once.
func (t *Target) kick() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Target) stop() { t.once.Do(func() { close(t.done) }) }

func (t *Target) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running == 0 && len(t.grants) == 0
}

func (t *Target) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// hasLeft says that the target owns nothing, by the map and locally, and that nothing runs there.
func (t *Target) hasLeft() bool {
	v := t.r.o.View()
	list := v.Assignments[t.info.Service]
	for i := range list {
		if list[i].State != api.Unassigned && list[i].Target == t.info.ID && list[i].Session == v.Session {
			return false
		}
	}
	return t.idle()
}

// replace marks the target lost for good, since another instance has taken its address. That
// alone does not prove that the process has ended, so its grants end by their expiry.
func (t *Target) replace() {
	t.mu.Lock()
	t.replaced = true
	if t.info.Pulls {
		// Only one instance runs at the address of a pulling target, so this one has ended.
		t.refused = true
	}
	t.markLost(time.Now(), "replaced by another instance")
	t.mu.Unlock()
	t.kick()
}

// markLost ends all grants; the caller holds t.mu.
func (t *Target) markLost(now time.Time, reason string) {
	if t.lost {
		return
	}
	t.lost = true
	t.lostAt = now
	for _, g := range t.grants {
		t.revoke(g, now)
	}
	telemetry.CountEvent("target_lost", 1)
	telemetry.Logger("host").WithField("target", t.info.ID).WithField("reason", reason).Warn("Target lost.")
	t.r.o.Wake()
}

// revive takes a lost target back after it has acknowledged an order; the caller holds t.mu.
func (t *Target) revive() {
	if !t.lost || t.replaced {
		return
	}
	t.lost = false
	telemetry.CountEvent("target_returned", 1)
	telemetry.Logger("host").WithField("target", t.info.ID).Info("Target answers again.")
	t.r.o.Wake()
}

// forgettable says that a lost target needs no more reports.
func (t *Target) forgettable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost || t.running > 0 || len(t.grants) > 0 {
		return false
	}
	return now.Sub(t.lostAt) > forgetAfter && now.Sub(t.announced) > forgetAfter
}
