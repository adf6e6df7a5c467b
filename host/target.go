package host

import (
	"net/http"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// clockReading pairs a reading of the clock of the target with the time at which it arrived at the
// node. The target read its clock before that.
type clockReading struct {
	ms int64
	at time.Time
}

// Target is one target instance beside the node. It is safe for concurrent use.
type Target struct {
	r      *Registry
	info   api.Announcement
	gate   Gate
	client *http.Client
	wakeCh chan struct{}
	done   chan struct{}
	once   sync.Once

	mu           sync.Mutex
	announced    time.Time
	clock        clockReading
	draining     bool
	lost         bool
	lostAt       time.Time
	replaced     bool // another instance has announced the address
	notListening bool // the last order or probe was refused a connection
	running      int  // attempts in flight
	grants       map[int]*grant
	orders       orderState
	pulled       pullState
	// connectionEnded is when a connection for calls last ended.
	connectionEnded time.Time
	// grantCalls and releaseCalls count the calls in flight, callCount those ever sent.
	grantCalls, releaseCalls int
	callCount                uint64
	calls                    sync.WaitGroup
	// grantsUsable is closed and replaced when an order has been acknowledged.
	grantsUsable chan struct{}
	appliedMap   mapVersion
	meter        *meter
	limitLines   telemetry.Limiter
}

// mapVersion identifies the assignments that have been applied.
type mapVersion struct {
	session api.SessionID
	version uint64
}

func newTarget(r *Registry, a api.Announcement, arrived time.Time) *Target {
	t := &Target{
		r:            r,
		info:         a,
		gate:         r.o.NewGate(a),
		client:       ordersClient(),
		wakeCh:       make(chan struct{}, 1),
		done:         make(chan struct{}),
		announced:    arrived,
		clock:        clockReading{ms: a.ClockMs, at: arrived},
		grants:       make(map[int]*grant),
		orders:       orderState{version: 1},
		grantsUsable: make(chan struct{}),
		meter:        newMeter(arrived),
		limitLines:   telemetry.Limiter{PerSecond: limitLinesPerSecond},
		pulled:       pullState{rateLimit: -1, changed: make(chan struct{})},
	}
	if a.Pulls {
		t.client = t.callClient()
	}
	return t
}

// Info returns the first announcement of the target, with defaults filled in.
func (t *Target) Info() api.Announcement { return t.info }

// Gate returns the gate of the target.
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
		Version:       t.info.Version,
		Zone:          t.r.o.Zone,
		Slots:         t.info.Slots,
		State:         t.state(),
		Cold:          cold,
		Warming:       t.gate.ColdStart(),
		Load:          roundLoad(load),
		Running:       t.gate.Requests(),
		ServiceMs:     t.gate.ServiceTime().Milliseconds(),
		Capacity:      t.gate.Capacity(),
		RateLimit:     t.gate.NamedRate(),
		PartitionLoad: partitions,
		HotKeys:       hot,
		Place:         t.exclusiveAddress(),
		StartedMs:     t.info.StartedMs,
		Announced:     t.lastAnnouncement(),
	}
}

// lastAnnouncement returns the sequence of the latest announcement, or api.FinalAnnouncement. The caller
// holds t.mu.
func (t *Target) lastAnnouncement() uint64 {
	if t.pulled.leaving {
		return api.FinalAnnouncement
	}
	return t.pulled.sequence
}

// exclusiveAddress returns host and address of a pulling target, where only one instance runs at a
// time; empty for others.
func (t *Target) exclusiveAddress() string {
	if !t.info.Pulls {
		return ""
	}
	return t.r.place(t.info.Address)
}

// wake makes the loop of the target run at once.
func (t *Target) wake() {
	select {
	case t.wakeCh <- struct{}{}:
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

// hasLeft reports whether the target owns nothing, by the map and locally, and has no attempt in flight.
func (t *Target) hasLeft() bool {
	v := t.r.o.View()
	list := v.Assignments[t.info.Service]
	for _, a := range list.All() {
		if a.State != api.Unassigned && a.Target == t.info.ID && a.Session == v.Session {
			return false
		}
	}
	return t.idle()
}

// markReplaced marks the target lost for ever, since another instance has announced its address. This
// does not prove that the process has ended, so its grants end when they expire.
func (t *Target) markReplaced() {
	t.mu.Lock()
	t.replaced = true
	if t.info.Pulls {
		// Only one instance runs at the address of a pulling target, so this one has ended.
		t.notListening = true
	}
	t.markLost(time.Now(), "replaced by another instance")
	t.mu.Unlock()
	t.wake()
}

// markLost revokes all grants. The caller holds t.mu.
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

// markReturned marks a lost target as serving after it responded again. The caller holds t.mu.
func (t *Target) markReturned() {
	if !t.lost || t.replaced {
		return
	}
	t.lost = false
	telemetry.CountEvent("target_returned", 1)
	telemetry.Logger("host").WithField("target", t.info.ID).Info("Target responds again.")
	t.r.o.Wake()
}

// canForget reports whether a lost target needs no more reports.
func (t *Target) canForget(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost || t.running > 0 || len(t.grants) > 0 {
		return false
	}
	return now.Sub(t.lostAt) > forgetAfter && now.Sub(t.announced) > forgetAfter
}
