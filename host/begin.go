package host

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// defaultMaxGrantWait bounds how long a request waits for a grant that the target has not yet acknowledged.
const defaultMaxGrantWait = 250 * time.Millisecond

// noPartition is the partition number of requests to a service that is not partitioned.
const noPartition = -1

// attempt is one request in flight under a grant.
type attempt struct {
	began  time.Time
	cancel context.CancelCauseFunc
}

// Begin checks that the target may start work under this grant now and counts the attempt as in
// flight until end is called. For a service that is not partitioned, ref.Partition is -1 and epoch
// is 0. key may be empty; it is sampled to find hot keys. Errors: WrongOwner, StaleEpoch, NoLease,
// ShuttingDown, NoTarget, and NoOwner for a grant that the target has not yet acknowledged.
// The returned context is derived from ctx and cancelled when the grant is revoked while the
// attempt is in flight.
func (t *Target) Begin(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
	attemptCtx context.Context, end func(), err error) {
	deadline := time.Now().Add(t.r.o.MaxGrantWait)
	for {
		attemptCtx, end, grantsUsable, err := t.tryBegin(ctx, ref, epoch, key)
		if grantsUsable == nil || !waitUntil(ctx, grantsUsable, deadline) {
			return attemptCtx, end, err
		}
	}
}

// waitUntil reports whether the channel was closed before ctx or the deadline ended.
func waitUntil(ctx context.Context, c <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// tryBegin returns a non-nil grantsUsable when the attempt only has to wait until the target has
// acknowledged the grant.
func (t *Target) tryBegin(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
	attemptCtx context.Context, end func(), grantsUsable <-chan struct{}, err error) {
	now := time.Now()
	if err := t.checkView(now, ref, epoch); err != nil {
		return nil, nil, nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if grantsUsable, err := t.checkState(now, ref, epoch); err != nil {
		return nil, nil, grantsUsable, err
	}
	if ref.Partition == noPartition {
		t.running++
		return ctx, sync.OnceFunc(t.endUnpartitioned), nil, nil
	}
	attemptCtx, end = t.beginUnderGrant(ctx, now, ref, key)
	return attemptCtx, end, nil, nil
}

// CheckBegin returns the error that Begin would return now, or would wait to become nil, and counts nothing.
func (t *Target) CheckBegin(ref api.PartitionRef, epoch api.Epoch) error {
	now := time.Now()
	if err := t.checkView(now, ref, epoch); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.checkState(now, ref, epoch)
	return err
}

// checkView checks the lease of the node and the assignment by the latest view.
func (t *Target) checkView(now time.Time, ref api.PartitionRef, epoch api.Epoch) error {
	v := t.r.o.View()
	if !v.LeaseValid(now) && !(ref.Partition == noPartition && v.Usable(now)) {
		return errkind.New(errkind.NoLease, "the node has no session lease")
	}
	return t.checkOwner(v, ref, epoch)
}

// checkState checks the state of the target and of its grant. It returns a non-nil grantsUsable with the error if the
// attempt only has to wait until the target has acknowledged the grant. The caller holds the lock.
func (t *Target) checkState(now time.Time, ref api.PartitionRef, epoch api.Epoch) (grantsUsable <-chan struct{}, err error) {
	if t.lost {
		return nil, errkind.New(errkind.NoTarget, "target %s is lost", t.info.ID)
	}
	if err := t.checkAdmitLimits(now); err != nil {
		return nil, err
	}
	if ref.Partition != noPartition {
		return t.checkGrant(now, ref, epoch)
	}
	if t.draining {
		return nil, errkind.New(errkind.ShuttingDown, "target %s is leaving", t.info.ID)
	}
	return nil, nil
}

// checkOwner checks the request against the assignments of the view.
func (t *Target) checkOwner(v *api.View, ref api.PartitionRef, epoch api.Epoch) error {
	if ref.Service != t.info.Service {
		return errkind.New(errkind.WrongOwner, "target %s does not serve %s", t.info.ID, ref.Service)
	}
	if ref.Partition == noPartition {
		return checkUnpartitioned(v, ref.Service)
	}
	owner := v.Owner(ref)
	if epoch < owner.Epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d of partition %d is older than %d",
			epoch, ref.Partition, owner.Epoch)
	}
	if !owner.Serves() || owner.Epoch != epoch || owner.Target != t.info.ID || owner.Session != v.Session {
		return errkind.New(errkind.WrongOwner, "target %s does not own partition %d at epoch %d",
			t.info.ID, ref.Partition, epoch)
	}
	return nil
}

// checkUnpartitioned refuses requests without a partition for a partitioned service.
func checkUnpartitioned(v *api.View, service string) error {
	if v.Configuration == nil {
		return nil
	}
	if s := v.Configuration.Services.Find(service); s != nil && s.Divided() {
		return errkind.New(errkind.WrongOwner, "service %s is partitioned by key", service)
	}
	return nil
}

func (t *Target) endUnpartitioned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// checkGrant checks that the target holds the grant and may start work under it. The results are those of checkState.
func (t *Target) checkGrant(now time.Time, ref api.PartitionRef, epoch api.Epoch) (grantsUsable <-chan struct{}, err error) {
	g := t.grants[ref.Partition]
	if g != nil && g.epoch > epoch {
		return nil, errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, g.epoch)
	}
	if g != nil && g.epoch == epoch && g.phase != granted && !(t.info.Pulls && g.phase == draining) {
		return nil, errkind.New(errkind.WrongOwner, "partition %d is being released", ref.Partition)
	}
	if g == nil || g.epoch != epoch || (t.info.ChecksGrants && !now.Before(g.acknowledgedUntil)) {
		return t.grantsUsable, errkind.New(errkind.NoOwner, "the target has not acknowledged partition %d", ref.Partition)
	}
	return nil, nil
}

// beginUnderGrant counts an attempt under a grant that checkGrant has found usable. The caller holds the lock.
func (t *Target) beginUnderGrant(ctx context.Context, now time.Time, ref api.PartitionRef, key string) (context.Context, func()) {
	g := t.grants[ref.Partition]
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{began: now, cancel: cancel}
	g.attempts[a] = struct{}{}
	t.running++
	t.meter.count(ref.Partition, key)
	return attemptCtx, sync.OnceFunc(func() { t.endUnderGrant(g, a) })
}

// CountRefusal counts a request that the gate refused as load of its partition. Without it, the
// load of an overloaded partition would appear to be no more than its target can serve.
func (t *Target) CountRefusal(ref api.PartitionRef, key string) {
	if ref.Partition == noPartition {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.count(ref.Partition, key)
}

func (t *Target) endUnderGrant(g *grant, a *attempt) {
	a.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(g.attempts, a)
	t.running--
	if g.phase != granted && len(g.attempts) == 0 {
		t.wake()
	}
}
