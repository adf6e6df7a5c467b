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
	log := telemetry.Logger("host").WithField("target", t.info.ID)
	now := time.Now()
	if rateLimit < 0 && now.Sub(t.pulled.rateNamed) < namedRateHold {
		rateLimit = t.pulled.rateLimit
	} else if rateLimit >= 0 {
		t.pulled.rateNamed = now
	}
	t.gate.SetNamedRate(rateLimit)
	if rateLimit != t.pulled.rateLimit {
		if ok, omitted := t.limitLines.Allow(now); ok {
			log.WithField("limit", rateLimit).WithField("former", t.pulled.rateLimit).WithField("omitted", omitted).
				Info("Target names another rate limit.")
		}
		telemetry.CountEvent("rate_limit_named", 1)
		t.pulled.rateLimit = rateLimit
	}
	if leaving && !t.pulled.leaving {
		log.Info("Target says in a response that it leaves.")
		t.pulled.leaving = true
		t.setDraining(true)
		t.wake()
	}
}
