package host

import (
	"context"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// defaultDeliveryWait bounds the wait of a request for a grant that the target has not yet acknowledged.
const defaultDeliveryWait = 250 * time.Millisecond

// undivided is the partition number of work of a service that is not divided by key.
const undivided = -1

// attempt is one request in flight under a grant.
type attempt struct {
	began  time.Time
	cancel context.CancelCauseFunc
}

// Begin checks that the target may start work under this grant now and counts the attempt as
// in flight until leave is called. For an undivided service ref.Partition is -1 and epoch is
// 0. key may be empty; it is measured for hot keys. Errors: WrongOwner, StaleEpoch, NoLease,
// ShuttingDown, NoTarget, and NoOwner for a grant that the target has not yet acknowledged.
// The returned context is derived from ctx and cancelled when the grant is revoked while the
// attempt still runs.
func (t *Target) Begin(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
	attemptCtx context.Context, leave func(), err error) {
	deadline := time.Now().Add(t.r.o.MaxGrantWait)
	for {
		attemptCtx, leave, delivery, err := t.tryEnter(ctx, ref, epoch, key)
		if delivery == nil || !waitUntil(ctx, delivery, deadline) {
			return attemptCtx, leave, err
		}
	}
}

// waitUntil returns false when ctx or the deadline ends before the channel is closed.
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

// tryEnter returns a non-nil delivery when the attempt has only to wait for the target's
// acknowledgement of the grant.
func (t *Target) tryEnter(ctx context.Context, ref api.PartitionRef, epoch api.Epoch, key string) (
	attemptCtx context.Context, leave func(), delivery <-chan struct{}, err error) {
	now := time.Now()
	v := t.r.o.View()
	if !v.LeaseValid(now) && !(ref.Partition == undivided && v.Usable(now)) {
		return nil, nil, nil, errkind.New(errkind.NoLease, "the node has no session lease")
	}
	if err := t.checkOwner(v, ref, epoch); err != nil {
		return nil, nil, nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return nil, nil, nil, errkind.New(errkind.NoTarget, "target %s is lost", t.info.ID)
	}
	if err := t.mayWork(now); err != nil {
		return nil, nil, nil, err
	}
	if ref.Partition == undivided {
		return t.enterUndivided(ctx)
	}
	return t.enterGrant(ctx, now, ref, epoch, key)
}

// checkOwner compares the request with the map.
func (t *Target) checkOwner(v *api.View, ref api.PartitionRef, epoch api.Epoch) error {
	if ref.Service != t.info.Service {
		return errkind.New(errkind.WrongOwner, "target %s does not serve %s", t.info.ID, ref.Service)
	}
	if ref.Partition == undivided {
		return checkUndivided(v, ref.Service)
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

// checkUndivided refuses work without a partition for a service that is divided by key.
func checkUndivided(v *api.View, service string) error {
	if v.Configuration == nil {
		return nil
	}
	if s := v.Configuration.Services.Find(service); s != nil && s.Divided() {
		return errkind.New(errkind.WrongOwner, "service %s is divided by key", service)
	}
	return nil
}

func (t *Target) enterUndivided(ctx context.Context) (context.Context, func(), <-chan struct{}, error) {
	if t.draining {
		return nil, nil, nil, errkind.New(errkind.ShuttingDown, "target %s is leaving", t.info.ID)
	}
	t.running++
	return ctx, sync.OnceFunc(t.leaveUndivided), nil, nil
}

func (t *Target) leaveUndivided() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

func (t *Target) enterGrant(ctx context.Context, now time.Time, ref api.PartitionRef, epoch api.Epoch, key string) (
	context.Context, func(), <-chan struct{}, error) {
	g := t.grants[ref.Partition]
	if g != nil && g.epoch > epoch {
		return nil, nil, nil, errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", epoch, g.epoch)
	}
	if g != nil && g.epoch == epoch && g.phase != granted && !(t.info.Pulls && g.phase == draining) {
		return nil, nil, nil, errkind.New(errkind.WrongOwner, "partition %d is being released", ref.Partition)
	}
	if g == nil || g.epoch != epoch || (t.info.ChecksGrants && !now.Before(g.usableUntil)) {
		err := errkind.New(errkind.NoOwner, "the target has not acknowledged partition %d", ref.Partition)
		return nil, nil, t.delivered, err
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{began: now, cancel: cancel}
	g.attempts[a] = struct{}{}
	t.running++
	t.meter.count(ref.Partition, key)
	return attemptCtx, sync.OnceFunc(func() { t.leaveGrant(g, a) }), nil, nil
}

// CountRefusal counts a request that the gate has refused as load of its partition. Without it, the load of
// a partition that is far beyond its target would look like what the target can bear.
func (t *Target) CountRefusal(ref api.PartitionRef, key string) {
	if ref.Partition == undivided {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.count(ref.Partition, key)
}

func (t *Target) leaveGrant(g *grant, a *attempt) {
	a.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(g.attempts, a)
	t.running--
	if g.phase != granted && len(g.attempts) == 0 {
		t.kick()
	}
}
