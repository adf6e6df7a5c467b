// Package host keeps the targets beside a node: it takes their announcements, sends them
// fenced orders, measures their load and admits requests to them.
//
// Each target has one goroutine that owns the orders sent to it. Traffic goroutines call
// Lookup and Begin.
package host

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Defaults of Options.
const (
	// DefaultLostAfter is the time without an acknowledged order after which a target is lost.
	DefaultLostAfter = 400 * time.Millisecond
	// DefaultGrantTTL is the longest time that one order extends grants by.
	DefaultGrantTTL = 500 * time.Millisecond
)

const (
	// maxTargets bounds the targets of one node, so that a faulty announcer cannot exhaust it.
	maxTargets = 64
	// forgetAfter is how long a lost target that announces nothing is still reported.
	forgetAfter = 10 * time.Second
)

// Gate is what the registry needs of the admission at a target.
type Gate interface {
	// Load returns the moving average of requests in progress, and whether the target is still
	// in its cold-start ramp.
	Load() (load float64, cold bool)
	// ServiceTime returns the mean service time; 0 when it is not known.
	ServiceTime() time.Duration
	// SetColdRate says for how much longer the target bears only rate requests per second; a
	// duration of 0 ends that, and a rate of 0 means no bound.
	SetColdRate(d time.Duration, rate float64)
}

// Options configure a Registry.
type Options struct {
	// Zone is the availability zone of the node.
	Zone string
	// View returns the latest view of the session; never nil.
	View func() *api.View
	// Wake asks for a heartbeat at once. It must not block.
	Wake func()
	// NewGate makes the gate of a target that has announced itself.
	NewGate func(api.Announcement) Gate
	// OrderInterval is the time between two orders. Default api.DefaultHeartbeat.
	OrderInterval time.Duration
	// DrainLimit bounds the wait for running requests of a partition that moves. Default
	// api.DefaultDrainLimit.
	DrainLimit time.Duration
	// DriftMargin is added to the expiry of grants at a target. Default api.DefaultDriftMargin.
	DriftMargin time.Duration
	// LostAfter is the default DefaultLostAfter when zero.
	LostAfter time.Duration
	// GrantTTL is the default DefaultGrantLife when zero.
	GrantTTL time.Duration
	// Host names the host in the places of pulling targets.
	Host string
	// MaxHold bounds the hold of a pulling target. Default api.DefaultLease.
	MaxHold time.Duration
	// DrainAdmitLimit is how long a pulling target is still given work after it has said that it
	// leaves, and OutAdmitLimit the same after its zone or itself was taken out; by then its partitions
	// have moved, unless control was slow. 0 means as long as it owns them.
	DrainAdmitLimit time.Duration
	OutAdmitLimit   time.Duration
	// MaxGrantWait bounds the wait of a request for a grant that the target has not got yet.
	// Default defaultDeliveryWait.
	MaxGrantWait time.Duration
}

func (o *Options) setDefaults() {
	setDuration(&o.OrderInterval, api.DefaultHeartbeat)
	setDuration(&o.DrainLimit, api.DefaultDrainLimit)
	setDuration(&o.DriftMargin, api.DefaultDriftMargin)
	setDuration(&o.LostAfter, DefaultLostAfter)
	setDuration(&o.GrantTTL, DefaultGrantTTL)
	setDuration(&o.MaxHold, api.DefaultLease)
	setDuration(&o.MaxGrantWait, defaultDeliveryWait)
	if o.Wake == nil {
		o.Wake = func() {}
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Registry holds the targets of a node. It is safe for concurrent use.
type Registry struct {
	o Options

	mu      sync.RWMutex
	ctx     context.Context // of Serve; nil before
	loops   sync.WaitGroup
	targets map[api.TargetID]*Target
	// released holds the ended grants until the map shows that the leader knows.
	released map[api.PartitionRef]api.Released
	// epochs holds the greatest epoch seen by partition; older grants are dropped.
	epochs map[api.PartitionRef]api.Epoch
	// left holds the instances that have left, so that an announcement that was on its way
	// does not bring one back; kept for forgetAfter.
	left map[api.TargetID]time.Time
	// settled is the map that settleReleased has looked at; zero after a target was removed.
	settled    mapVersion
	leaseUntil time.Time // of the last view
	// configuration is that of the last view.
	configuration *api.Configuration
}

// NewRegistry returns a registry without targets. View and NewGate must be set.
func NewRegistry(o Options) *Registry {
	o.setDefaults()
	return &Registry{
		o:        o,
		targets:  make(map[api.TargetID]*Target),
		released: make(map[api.PartitionRef]api.Released),
		epochs:   make(map[api.PartitionRef]api.Epoch),
		left:     make(map[api.TargetID]time.Time),
	}
}

// Serve sends orders to the targets until ctx ends, and returns the error of ctx.
func (r *Registry) Serve(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	for _, t := range r.targets {
		r.start(t)
	}
	r.mu.Unlock()
	<-ctx.Done()
	r.mu.Lock()
	r.ctx = nil
	r.mu.Unlock()
	r.loops.Wait()
	return ctx.Err()
}

// start runs the loop of the target; the caller holds r.mu.
func (r *Registry) start(t *Target) {
	if r.ctx == nil {
		return
	}
	ctx := r.ctx
	r.loops.Go(func() { t.serve(ctx) })
}

// Lookup returns the target, or nil when it is not at this node.
func (r *Registry) Lookup(id api.TargetID) *Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.targets[id]
}

func (r *Registry) all() []*Target {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*Target, 0, len(r.targets))
	for _, t := range r.targets {
		list = append(list, t)
	}
	return list
}

// Targets reports all targets for a heartbeat.
func (r *Registry) Targets() []api.TargetReport {
	now := time.Now()
	all := r.all()
	reports := make([]api.TargetReport, 0, len(all))
	for _, t := range all {
		reports = append(reports, t.report(now))
	}
	return reports
}

// Released reports the grants that have ended, until the map shows a newer epoch or another owner.
func (r *Registry) Released() []api.Released {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]api.Released, 0, len(r.released))
	for _, released := range r.released {
		list = append(list, released)
	}
	return list
}

// Idle says that nothing runs at any target and that none holds a grant.
func (r *Registry) Idle() bool {
	for _, t := range r.all() {
		if !t.idle() {
			return false
		}
	}
	return true
}

// Update takes over a new view; it is to be subscribed to the session. Orders are sent at once
// when the map has changed or the lease is back; a mere renewal goes with the next order.
func (r *Registry) Update(v *api.View) {
	r.followConfiguration(v)
	changed := r.settleReleased(v)
	resumed := r.resumed(v, time.Now())
	if !changed && !resumed {
		return
	}
	for _, t := range r.all() {
		t.kick()
		t.notifyPull()
	}
}

// followConfiguration applies what a new configuration says of the targets here, before any
// request is admitted under it.
func (r *Registry) followConfiguration(v *api.View) {
	r.mu.Lock()
	same := r.configuration == v.Configuration
	r.configuration = v.Configuration
	r.mu.Unlock()
	if same {
		return
	}
	now := time.Now()
	for _, t := range r.all() {
		t.mu.Lock()
		t.paceCold(v, now)
		t.noteOut(v.Configuration, now)
		t.mu.Unlock()
	}
}

// resumed says that the lease of the view before v has run out.
func (r *Registry) resumed(v *api.View, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lapsed := !now.Before(r.leaseUntil)
	r.leaseUntil = v.LeaseUntil
	return lapsed
}

// settleReleased drops the reports that the leader has acted upon, and releases at once what
// was granted to a target that is no longer here: nothing can run under such a grant. It
// returns false when map and session are those of the last call.
func (r *Registry) settleReleased(v *api.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := mapVersion{session: v.Session, version: v.MapVersion}
	if r.settled == current {
		return false
	}
	r.settled = current
	for ref, released := range r.released {
		owner := v.Owner(ref)
		if owner.Epoch != released.Epoch || owner.Session != v.Session || owner.State == api.Unassigned {
			delete(r.released, ref)
		}
	}
	for service, list := range v.Assignments {
		for p := range list {
			a := &list[p]
			if a.State == api.Unassigned || a.Session != v.Session || r.targets[a.Target] != nil || a.Place != "" {
				continue
			}
			ref := api.PartitionRef{Service: service, Partition: p}
			r.released[ref] = api.Released{PartitionRef: ref, Epoch: a.Epoch}
		}
	}
	return true
}

// release reports the end of a grant at once.
func (r *Registry) release(released api.Released) {
	r.mu.Lock()
	r.released[released.PartitionRef] = released
	r.mu.Unlock()
	telemetry.CountEvent("grant_released", 1)
	r.o.Wake()
}

// admitEpoch says whether a grant may be taken up: it is not older than any other of its
// partition and has not been released.
func (r *Registry) admitEpoch(ref api.PartitionRef, epoch api.Epoch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epochs[ref] {
		return false
	}
	if released, ok := r.released[ref]; ok && released.Epoch >= epoch {
		return false
	}
	r.epochs[ref] = epoch
	return true
}

// noteLeft refuses announcements of the instance from now on.
func (r *Registry) noteLeft(id api.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.left {
		if now.Sub(at) > forgetAfter {
			delete(r.left, other)
		}
	}
	r.left[id] = now
}

// remove forgets the target; its loop ends by itself.
func (r *Registry) remove(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[t.info.ID] == t {
		delete(r.targets, t.info.ID)
		r.settled = mapVersion{}
	}
	t.stop()
}
