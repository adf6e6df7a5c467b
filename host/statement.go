package host

import (
	"time"

	"github.com/zinniapier/zinniapier/telemetry"
)

// namedRateHold is how long a named rate holds against responses without one. Responses arrive out of order, and a
// faulty one may lack the header.
const namedRateHold = 500 * time.Millisecond

// limitLinesPerSecond bounds the log lines about the named limits of one target.
const limitLinesPerSecond = 2

// ReportStatement records what a response of the target has said about it: the number of requests per second
// that it takes, negative for no limit, and whether it leaves.
func (t *Target) ReportStatement(rateLimit float64, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRateLimit(rateLimit, time.Now())
	if leaving && !t.pulled.leaving {
		telemetry.Logger("host").WithField("target", t.info.ID).Info("Target says in a response that it leaves.")
		t.pulled.leaving = true
		t.setDraining(true)
		t.wake()
	}
}

// recordRateLimit passes the named rate to the gate if it is new, or if this is the first response. The caller holds
// t.mu.
func (t *Target) recordRateLimit(rate float64, now time.Time) {
	p := &t.pulled
	if rate >= 0 {
		p.rateNamed = now
	} else if now.Sub(p.rateNamed) < namedRateHold {
		rate = p.rateLimit
	}
	first := !p.responded
	p.responded = true
	if first || rate != p.rateLimit {
		t.gate.SetNamedRate(rate)
	}
	if rate == p.rateLimit {
		return
	}
	telemetry.CountEvent("rate_limit_named", 1)
	if ok, omitted := t.limitLines.Allow(now); ok {
		telemetry.Logger("host").WithField("target", t.info.ID).WithField("limit", rate).WithField("former", p.rateLimit).
			WithField("omitted", omitted).Info("Target names another rate limit.")
	}
	p.rateLimit = rate
}
