package host

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// retryDelay is the minimum time between two orders after a failure.
	retryDelay = 10 * time.Millisecond
	// maxOrdersReply bounds the body of an acknowledgement in bytes.
	maxOrdersReply = 64 << 10
	// ordersPerLostAfter is the number of unacknowledged orders within LostAfter. With two, a node
	// that was itself paused sends another order before it marks the target lost.
	ordersPerLostAfter = 2
)

// orderState is the state of the orders to one target.
type orderState struct {
	sequence uint64
	// version counts the changes to the set of grants; acknowledged is the last version that the
	// target has confirmed.
	version, acknowledged uint64
	failures              int
	failingSince          time.Time // when the first unacknowledged order was sent
	expiry                time.Time // expiry of the grants in the last order, by the clock of the node
}

// order is an order that is being sent.
type order struct {
	message api.Orders
	version uint64
	expiry  time.Time // expiry of the grants, by the clock of the node
	grants  []*grant
}

func ordersClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxCallHead,
	}}
}

// serve runs the loop of the target. It ends with ctx or when the target is removed.
func (t *Target) serve(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer t.calls.Wait()
	defer cancel()
	for {
		started := time.Now()
		next := t.runOnce(ctx, started)
		if t.canForget(time.Now()) {
			t.r.remove(t)
		}
		if !t.waitForNext(ctx, next) {
			return
		}
	}
}

// runOnce applies the view, sends one order or probe, or starts the calls that are due, and advances the
// grants. It returns when it has to run again.
func (t *Target) runOnce(ctx context.Context, started time.Time) (next time.Time) {
	t.applyView(t.r.o.View(), time.Now())
	t.advance(time.Now())
	switch {
	case t.isReplaced():
		return t.nextDeadline(t.nextOrderTime(started))
	case t.info.Pulls:
		return t.nextDeadline(t.startCalls(ctx))
	case t.info.ChecksGrants:
		t.sendOrder(ctx)
	default:
		t.probe(ctx)
	}
	t.advance(time.Now())
	return t.nextDeadline(t.nextOrderTime(started))
}

func (t *Target) isReplaced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replaced
}

// waitForNext waits for the next run and reports whether the loop goes on.
func (t *Target) waitForNext(ctx context.Context, next time.Time) bool {
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.done:
		return false
	case <-t.wakeCh:
		return true
	case <-timer.C:
		return true
	}
}

// nextOrderTime returns when the next order is due: soon when the set of grants has changed or the last
// order failed, else after the interval.
func (t *Target) nextOrderTime(started time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.info.ChecksGrants && !t.info.Pulls && t.orders.acknowledged != t.orders.version
	if !t.lost && (changed || t.orders.failures > 0) {
		return time.Now().Add(retryDelay)
	}
	return started.Add(t.r.o.OrderInterval)
}

// prepare builds the next order. The grants expire at min(end of the lease, now + GrantTTL),
// converted to the clock of the target with its last reading.
func (t *Target) prepare(v *api.View, now time.Time) *order {
	t.mu.Lock()
	defer t.mu.Unlock()
	expiry := earlier(v.LeaseUntil, now.Add(t.r.o.GrantTTL))
	if t.orders.failures > 0 && t.orders.expiry.After(now) {
		// A retry does not extend the grants: the target may be frozen, and the release of its
		// partitions has to wait until they expire.
		expiry = earlier(expiry, t.orders.expiry)
	}
	t.orders.expiry = expiry
	t.orders.sequence++
	o := &order{version: t.orders.version, expiry: expiry}
	o.message = api.Orders{
		Target:         t.info.ID,
		Sequence:       t.orders.sequence,
		ExpiresClockMs: t.clock.ms + expiry.Sub(t.clock.at).Milliseconds(),
		Renew:          t.orders.acknowledged == t.orders.version,
	}
	for _, g := range t.grants {
		if g.phase == revoking {
			continue
		}
		o.grants = append(o.grants, g)
		if expiry.After(g.expiry) {
			// Set before sending: the order may take effect without being acknowledged.
			g.expiry = expiry
		}
		if !o.message.Renew {
			o.message.Grants = append(o.message.Grants, api.TargetGrant{Partition: g.partition, Epoch: g.epoch})
		}
	}
	return o
}

func (t *Target) sendOrder(ctx context.Context) {
	sent := time.Now()
	o := t.prepare(t.r.o.View(), sent)
	reply, err := t.post(ctx, &o.message)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.recordFailure(err, sent)
		return
	}
	t.recordAcknowledgement(o, reply, time.Now())
}

// post sends the order and waits for the reply for at most LostAfter/ordersPerLostAfter.
func (t *Target) post(ctx context.Context, message *api.Orders) (*api.OrdersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, t.r.o.LostAfter/ordersPerLostAfter)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	url := "http://" + t.info.Address + api.PathOrders
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxOrdersReply))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("order refused with %s: %s", resp.Status, text)
	}
	reply := new(api.OrdersReply)
	return reply, json.Unmarshal(text, reply)
}

// recordAcknowledgement updates the state from a reply. The caller holds t.mu.
func (t *Target) recordAcknowledgement(o *order, reply *api.OrdersReply, arrived time.Time) {
	if reply.Instance != t.info.ID {
		t.replaced = true
		t.markLost(arrived, "another instance responds at the address")
		return
	}
	t.notListening = false
	t.orders.failures = 0
	t.clock = clockReading{ms: reply.ClockMs, at: arrived}
	if reply.Sequence != o.message.Sequence {
		// The target has taken orders from a previous process of this node; continue after them.
		t.orders.sequence = max(t.orders.sequence, reply.Sequence)
		t.orders.acknowledged = 0
		return
	}
	t.orders.acknowledged = o.version
	for _, g := range o.grants {
		g.acknowledgedUntil = o.expiry
	}
	t.markReturned()
	t.notifyGrantsUsable()
}

// notifyGrantsUsable wakes the requests that wait for a grant to become usable. The caller holds t.mu.
func (t *Target) notifyGrantsUsable() {
	close(t.grantsUsable)
	t.grantsUsable = make(chan struct{})
}

// recordFailure updates the state after an order without a reply. The caller holds t.mu.
func (t *Target) recordFailure(err error, sent time.Time) {
	telemetry.CountEvent("order_failed", 1)
	now := time.Now()
	// The order may or may not have taken effect, so the next one carries the full set.
	t.orders.acknowledged = 0
	if t.orders.failures == 0 {
		t.orders.failingSince = sent
	}
	t.orders.failures++
	t.notListening = errors.Is(err, syscall.ECONNREFUSED)
	if t.notListening {
		t.markLost(now, "connection refused")
		return
	}
	if t.orders.failures >= ordersPerLostAfter && now.Sub(t.orders.failingSince) >= t.r.o.LostAfter {
		t.markLost(now, "no order acknowledged")
	}
}

// probe checks whether a target that takes no orders still listens. Only a refused connection counts
// as a failure: its own health and load endpoints may lag.
func (t *Target) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.r.o.LostAfter/ordersPerLostAfter)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.info.Address)
	if err == nil {
		_ = conn.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notListening = errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case t.notListening:
		t.markLost(time.Now(), "connection refused")
	case err == nil:
		t.markReturned()
	}
}
