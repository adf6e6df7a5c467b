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
	// retryPause is the least time between two orders after a failure.
	retryPause = 10 * time.Millisecond
	// maxOrdersReply bounds the body of an acknowledgement.
	maxOrdersReply = 64 << 10
	// ordersPerLost is the number of unacknowledged orders that fit into the time after which
	// a target is lost. With two, a node that was itself paused sends another order first.
	ordersPerLost = 2
)

// orderState is what the loop of a target knows about its orders.
type orderState struct {
	sequence uint64
	// version counts the changes of the set of grants, acknowledged the last one that the
	// target has confirmed.
	version, acknowledged uint64
	failures              int
	failingSince          time.Time // sending time of the first unacknowledged order
	until                 time.Time // end of the grants in the last order, on the node's clock
}

// order is one order on its way.
type order struct {
	message api.Orders
	version uint64
	until   time.Time // the end of the grants on the node's clock
	grants  []*grant
}

func ordersClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// serve is the loop of the target. It ends with ctx or when the target is removed.
func (t *Target) serve(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	for {
		started := time.Now()
		t.step(ctx)
		if t.forgettable(time.Now()) {
			t.r.remove(t)
		}
		if !t.pause(ctx, started) {
			return
		}
	}
}

// step takes over the view, sends one order or probe and moves the handovers on.
func (t *Target) step(ctx context.Context) {
	t.reconcile(t.r.o.View(), time.Now())
	t.advance(time.Now())
	switch {
	case t.isReplaced(), t.info.Pulls:
		return
	case t.info.ChecksGrants:
		t.sendOrder(ctx)
	default:
		t.probe(ctx)
	}
	t.advance(time.Now())
}

func (t *Target) isReplaced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replaced
}

func (t *Target) pause(ctx context.Context, started time.Time) bool {
	timer := time.NewTimer(time.Until(t.nextDeadline(t.nextOrder(started))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.done:
		return false
	case <-t.wake:
		return true
	case <-timer.C:
		return true
	}
}

// nextOrder returns when the next order is due: soon when the set has changed or the last
// order failed, else after the interval.
func (t *Target) nextOrder(started time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.info.ChecksGrants && !t.info.Pulls && t.orders.acknowledged != t.orders.version
	if !t.lost && (changed || t.orders.failures > 0) {
		return time.Now().Add(retryPause)
	}
	return started.Add(t.r.o.OrderInterval)
}

// prepare builds the next order. The end of the grants is min(end of the lease, now + grant
// life), converted to the target's clock with its last reading.
func (t *Target) prepare(v *api.View, now time.Time) *order {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := earlier(v.LeaseUntil, now.Add(t.r.o.GrantTTL))
	if t.orders.failures > 0 && t.orders.until.After(now) {
		// An order that repeats an unacknowledged one extends nothing: the longer the grants of
		// a target that may be frozen run, the longer their release has to wait.
		until = earlier(until, t.orders.until)
	}
	t.orders.until = until
	t.orders.sequence++
	o := &order{version: t.orders.version, until: until}
	o.message = api.Orders{
		Target:         t.info.ID,
		Sequence:       t.orders.sequence,
		ExpiresClockMs: t.clock.ms + until.Sub(t.clock.at).Milliseconds(),
		Renew:          t.orders.acknowledged == t.orders.version,
	}
	for _, g := range t.grants {
		if g.phase == revoking {
			continue
		}
		o.grants = append(o.grants, g)
		if until.After(g.until) {
			// Noted before sending: the order may take effect without being acknowledged.
			g.until = until
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
		t.orderFailed(err, sent)
		return
	}
	t.orderAnswered(o, reply, time.Now())
}

// post sends the order within half the time after which the target counts as lost.
func (t *Target) post(ctx context.Context, message *api.Orders) (*api.OrdersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, t.r.o.LostAfter/ordersPerLost)
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
		return nil, errors.Errorf("orders answered %s: %s", resp.Status, text)
	}
	reply := new(api.OrdersReply)
	return reply, json.Unmarshal(text, reply)
}

// orderAnswered notes an acknowledgement. The caller holds t.mu.
func (t *Target) orderAnswered(o *order, reply *api.OrdersReply, arrived time.Time) {
	if reply.Instance != t.info.ID {
		t.replaced = true
		t.markLost(arrived, "another instance answers at the address")
		return
	}
	t.refused = false
	t.orders.failures = 0
	t.clock = clockReading{ms: reply.ClockMs, at: arrived}
	if reply.Sequence != o.message.Sequence {
		// The target has taken orders of an earlier node process; continue after them.
		t.orders.sequence = max(t.orders.sequence, reply.Sequence)
		t.orders.acknowledged = 0
		return
	}
	t.orders.acknowledged = o.version
	for _, g := range o.grants {
		g.usableUntil = o.until
	}
	t.revive()
	t.announceDelivery()
}

// announceDelivery wakes the requests that wait for a grant to become usable.
func (t *Target) announceDelivery() {
	close(t.delivered)
	t.delivered = make(chan struct{})
}

// orderFailed notes an order without acknowledgement. The caller holds t.mu.
func (t *Target) orderFailed(err error, sent time.Time) {
	telemetry.CountEvent("order_failed", 1)
	now := time.Now()
	// Whether the order took effect is not known; the next one carries the full set.
	t.orders.acknowledged = 0
	if t.orders.failures == 0 {
		t.orders.failingSince = sent
	}
	t.orders.failures++
	t.refused = errors.Is(err, syscall.ECONNREFUSED)
	if t.refused {
		t.markLost(now, "connection refused")
		return
	}
	if t.orders.failures >= ordersPerLost && now.Sub(t.orders.failingSince) >= t.r.o.LostAfter {
		t.markLost(now, "no order acknowledged")
	}
}

// probe looks whether a target that takes no orders still listens. Only a refused connection
// counts: its own health and load endpoints may lag.
func (t *Target) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.r.o.LostAfter/ordersPerLost)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.info.Address)
	if err == nil {
		_ = conn.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case t.refused:
		t.markLost(time.Now(), "connection refused")
	case err == nil:
		t.revive()
	}
}
