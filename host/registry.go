// Package host manages the targets on the same host as a node: it handles their announcements,
// sends them orders with their grants, measures their load and admits requests to them.
//
// One goroutine for each target sends its orders. The goroutines of requests call Lookup and
// Target.Begin.
package host

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// maxTargets bounds the targets of one node, so that a faulty announcer cannot exhaust its memory.
	maxTargets = 64
	// forgetAfter is how long a lost target without announcements is still reported.
	forgetAfter = 10 * time.Second
)

// Registry holds the targets of a node. It is safe for concurrent use.
type Registry struct {
	o Options
	// started is when this process began to manage targets.
	started time.Time

	mu      sync.RWMutex
	ctx     context.Context // of Serve; nil before
	loops   sync.WaitGroup
	targets map[api.TargetID]*Target
	// released holds the ended grants until the map shows that the leader has processed them.
	released map[api.PartitionRef]api.Released
	// epochs holds the highest epoch seen of each partition; older grants are ignored.
	epochs map[api.PartitionRef]api.Epoch
	// departed holds the instances that have left, so that a delayed announcement does not add one
	// again; entries are kept for forgetAfter.
	departed map[api.TargetID]time.Time
	// departures holds what instances of pulling targets have said of their end, by instance name.
	departures map[string]departure
	// prunedFor is the map that updateReleased has processed; zero after a target was removed.
	prunedFor  mapVersion
	leaseUntil time.Time // of the last view
	// configuration is that of the last view.
	configuration *api.Configuration
}

// NewRegistry returns a registry without targets. View and NewGate must be set.
func NewRegistry(o Options) *Registry {
	o.setDefaults()
	return &Registry{
		o:        o,
		started:  time.Now(),
		targets:  make(map[api.TargetID]*Target),
		released: make(map[api.PartitionRef]api.Released),
		epochs:   make(map[api.PartitionRef]api.Epoch),
		departed: make(map[api.TargetID]time.Time),

		departures: make(map[string]departure),
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

// start starts the loop of the target. The caller holds r.mu.
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

// Targets returns the reports of all targets for a heartbeat.
func (r *Registry) Targets() []api.TargetReport {
	now := time.Now()
	all := r.all()
	reports := make([]api.TargetReport, 0, len(all))
	for _, t := range all {
		reports = append(reports, t.report(now))
	}
	return reports
}

// Released returns the grants that have ended, until the map shows a newer epoch or another owner.
func (r *Registry) Released() []api.Released {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]api.Released, 0, len(r.released))
	for _, released := range r.released {
		list = append(list, released)
	}
	return list
}

// Idle reports whether no attempt is in flight and no target holds a grant.
func (r *Registry) Idle() bool {
	for _, t := range r.all() {
		if !t.idle() {
			return false
		}
	}
	return true
}

// Update applies a new view; the session calls it for each one. Orders are sent at once when the map
// has changed or the lease was renewed after it had expired; an ordinary renewal goes with the next
// order.
func (r *Registry) Update(v *api.View) {
	r.applyConfiguration(v)
	changed := r.updateReleased(v)
	leaseResumed := r.leaseResumed(v, time.Now())
	if !changed && !leaseResumed {
		return
	}
	for _, t := range r.all() {
		t.wake()
		t.endReplyHold()
	}
}

// applyConfiguration applies a new configuration to the targets before any request is admitted under it.
func (r *Registry) applyConfiguration(v *api.View) {
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
		t.updateColdRate(v, now)
		t.recordTakenOut(v.Configuration, now)
		t.mu.Unlock()
	}
}

// leaseResumed reports whether the lease of the previous view has expired.
func (r *Registry) leaseResumed(v *api.View, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lapsed := !now.Before(r.leaseUntil)
	r.leaseUntil = v.LeaseUntil
	return lapsed
}

// updateReleased drops the reports that the leader has processed, and reports every grant to a target
// that is not at this node as released: nothing can run under it. It returns false when map and
// session are those of the last call.
func (r *Registry) updateReleased(v *api.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := mapVersion{session: v.Session, version: v.MapVersion}
	if r.prunedFor == current {
		return false
	}
	r.prunedFor = current
	for ref, released := range r.released {
		owner := v.Owner(ref)
		if owner.Epoch != released.Epoch || owner.Session != v.Session || owner.State == api.Unassigned {
			delete(r.released, ref)
		}
	}
	for service, list := range v.Assignments {
		for p, a := range list.All() {
			if a.State == api.Unassigned || a.Session != v.Session || r.targets[a.Target] != nil || a.Place != "" {
				continue
			}
			ref := api.PartitionRef{Service: service, Partition: p}
			r.released[ref] = api.Released{PartitionRef: ref, Epoch: a.Epoch}
		}
	}
	return true
}

// recordReleased reports the end of a grant with a heartbeat at once.
func (r *Registry) recordReleased(released api.Released) {
	r.mu.Lock()
	r.released[released.PartitionRef] = released
	r.mu.Unlock()
	telemetry.CountEvent("grant_released", 1)
	r.o.Wake()
}

// admitEpoch reports whether a grant may be added: it is not older than any other of its partition and
// has not been released.
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

// recordDeparted makes later announcements of the instance be refused.
func (r *Registry) recordDeparted(id api.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, at := range r.departed {
		if now.Sub(at) > forgetAfter {
			delete(r.departed, other)
		}
	}
	r.departed[id] = now
}

// remove deletes the target; its loop ends.
func (r *Registry) remove(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[t.info.ID] == t {
		delete(r.targets, t.info.ID)
		r.prunedFor = mapVersion{}
	}
	t.stop()
}
