package host

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// maxCallAnswer bounds the body of the response to a call, maxCallHead the head of that to a call or an order, in
	// bytes.
	maxCallAnswer = 4 << 10
	maxCallHead   = 16 << 10
	// dialHeartbeatAge is the greatest age of the last heartbeat of a target to which a connection is
	// opened, in heartbeat intervals: a new connection may reach another instance at the address.
	dialHeartbeatAge = 1.5
)

// errUnconfirmed is returned when no connection may be opened until the next heartbeat of the target.
var errUnconfirmed = errors.New("the target has sent no heartbeat since its last connection ended")

// callClient returns the client for calls to the target. Its connections lead to one instance only.
func (t *Target) callClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            t.dialForCalls,
			MaxIdleConnsPerHost:    maxGrantCalls,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxCallHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialForCalls opens a connection if the instance is known to run. A grant that reached a later
// instance at the address would give it keys under an epoch that its predecessor had.
func (t *Target) dialForCalls(ctx context.Context, network, address string) (net.Conn, error) {
	t.mu.Lock()
	confirmed := mayDial(time.Now(), t.announced, t.connectionEnded, t.r.o.HeartbeatInterval)
	t.mu.Unlock()
	if !confirmed {
		return nil, errUnconfirmed
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &callConn{Conn: conn, ended: sync.OnceFunc(t.recordConnectionEnd)}, nil
}

// mayDial reports whether a new connection leads to the instance that sent the last heartbeat.
//
// Load pattern: targets that crash and start again at the same address between two heartbeats, or
// that are silent for a while first.
func mayDial(now, heartbeat, ended time.Time, interval time.Duration) bool {
	return heartbeat.After(ended) && now.Sub(heartbeat) <= time.Duration(dialHeartbeatAge*float64(interval))
}

func (t *Target) recordConnectionEnd() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connectionEnded = time.Now()
}

// callConn reports its end, by either side.
type callConn struct {
	net.Conn
	ended func()
}

func (c *callConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended()
	}
	return n, err
}

func (c *callConn) Close() error {
	c.ended()
	return c.Conn.Close()
}

// startCalls starts the calls that are due and returns when it has to run again.
func (t *Target) startCalls(ctx context.Context) time.Time {
	now := time.Now()
	v := t.r.o.View()
	s := configured(v, t.info.Service)
	if !t.deliversByCall(s) {
		return now.Add(t.r.o.OrderInterval)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	calls, next := t.dueCalls(v, s, now)
	for _, c := range calls {
		t.beginCall(c, now)
		t.callCount++
		id := string(t.info.ID) + "/" + strconv.FormatUint(t.callCount, 10)
		t.calls.Go(func() { t.runCall(ctx, id, c) })
	}
	return next
}

// runCall sends one call and records its outcome.
func (t *Target) runCall(ctx context.Context, id string, c *rangeCall) {
	handover, sent, err := t.call(ctx, id, c)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	t.logCall(id, c, err, now)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.ReportConnectionRefused()
	}
	t.mu.Lock()
	t.recordCall(c, handover, err, sent, now)
	t.mu.Unlock()
	t.wake()
}

// call sends a call and reads its response. sent is false if no byte can have reached the target.
func (t *Target) call(ctx context.Context, id string, c *rangeCall) (handover string, sent bool, err error) {
	limit := callTimeout
	if c.release {
		limit = releaseTimeout
	}
	ctx, cancel := context.WithDeadline(ctx, c.sent.Add(limit))
	defer cancel()
	req, err := t.newCall(id, c)
	if err != nil {
		return "", false, errors.Trace(err)
	}
	resp, err := t.client.Do(req.WithContext(ctx))
	if err != nil {
		var dial *net.OpError
		refused := errors.As(err, &dial) && dial.Op == "dial"
		return "", !refused && !errors.Is(err, errUnconfirmed), err
	}
	defer resp.Body.Close()
	if err := drainAnswer(resp.Body); err != nil {
		return "", true, err
	}
	if c.release {
		handover, err = t.r.o.Calls.ParseRelease(id, resp)
		return handover, true, err
	}
	return "", true, t.r.o.Calls.ParseGrant(id, resp)
}

func (t *Target) newCall(id string, c *rangeCall) (*http.Request, error) {
	if c.release {
		return t.r.o.Calls.NewRelease(id, t.info.Address, t.info.Instance, c.row)
	}
	return t.r.o.Calls.NewGrant(id, t.info.Address, t.info.Instance, c.row, c.hold)
}

// drainAnswer reads the body to its end. Errors: ShortAnswer, TooLarge beyond maxCallAnswer.
func drainAnswer(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxCallAnswer+1))
	if err != nil {
		return errkind.New(errkind.ShortAnswer, "response to a call: %v", err)
	}
	if n > maxCallAnswer {
		return errkind.New(errkind.TooLarge, "response to a call has more than %d bytes", maxCallAnswer)
	}
	return nil
}

// logCall logs each call that failed, each release and each first grant; renewals are only counted.
func (t *Target) logCall(id string, c *rangeCall, err error, now time.Time) {
	kind := "grant"
	if c.release {
		kind = "release"
	}
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	telemetry.CountEvent(kind+"_call_"+outcome, 1)
	entry := telemetry.Logger("host").WithField("target", t.info.ID).WithField("call", id).WithField("kind", kind).
		WithField("keys", []int{c.row.First, c.row.Last}).WithField("epoch", c.row.Epoch).WithField("ms", now.Sub(c.sent).Milliseconds())
	switch {
	case err != nil && errors.Is(err, errUnconfirmed):
		entry.WithField("reason", "unconfirmed").Info("Grant call waits for a heartbeat.")
	case err != nil:
		entry.WithError(err).WithField("error_kind", errkind.Of(err)).Warn("Grant call failed.")
	case c.release || !c.renewal:
		entry.WithField("hold_ms", c.hold.Milliseconds()).Info("Grant call answered.")
	}
}
