package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/routematch"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// answeredLines, refusedLines and attemptLines limit the log lines per second. Failures have a
	// limit of their own, so that many successful requests do not hide them.
	answeredLines = 60
	refusedLines  = 60
	attemptLines  = 100
)

// requestLog writes a line for each request at its first node, and for each attempt that came over
// a hop at the owner's node.
type requestLog struct {
	entry    *logrus.Entry
	answered telemetry.Limiter
	refused  telemetry.Limiter
	attempts telemetry.Limiter
}

func newRequestLog() *requestLog {
	return &requestLog{
		entry:    telemetry.Logger("gateway"),
		answered: telemetry.Limiter{PerSecond: answeredLines},
		refused:  telemetry.Limiter{PerSecond: refusedLines},
		attempts: telemetry.Limiter{PerSecond: attemptLines},
	}
}

// attemptHistory records the attempts of a call for its log line.
type attemptHistory struct {
	began time.Time

	mu       sync.Mutex
	attempts []string
}

// record adds an attempt with its destination, outcome and duration.
func (t *attemptHistory) record(p destination, took time.Duration, e *errkind.Error) {
	outcome := "answered"
	if e != nil {
		outcome = string(e.Kind)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, fmt.Sprintf("%s %s %d ms", p.target, outcome, took.Milliseconds()))
}

func (t *attemptHistory) list() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.attempts...)
}

// viewFields returns the versions and the age of the node's view as log fields.
func viewFields(v *api.View, now time.Time) logrus.Fields {
	f := logrus.Fields{"map": v.MapVersion, "term": v.Term, "lease_left_ms": v.LeaseUntil.Sub(now).Milliseconds()}
	if v.Configuration != nil {
		f["configuration"] = v.Configuration.Version
	}
	if !v.RenewedAt.IsZero() {
		f["view_age_ms"] = now.Sub(v.RenewedAt).Milliseconds()
	}
	return f
}

func (c *call) fields() logrus.Fields {
	f := logrus.Fields{
		"request": c.id, "service": c.ref.Service, "ms": time.Since(c.history.began).Milliseconds(),
		"deadline_left_ms": time.Until(c.deadline).Milliseconds(), "attempts": c.history.list(),
	}
	if c.routeName != "" {
		f["route"] = c.routeName
	}
	if c.org != "" {
		f["organisation"] = c.org
	}
	if c.ref.Partition >= 0 {
		f["partition"] = c.ref.Partition
	}
	return f
}

// logAnswered logs a request that got a response.
func (l *requestLog) logAnswered(c *call, status int) {
	telemetry.Observe("route", c.routeName, time.Since(c.history.began))
	ok, omitted := l.answered.Allow(time.Now())
	if !ok {
		return
	}
	l.line(omitted).WithFields(c.fields()).WithField("status", status).Info("Request answered.")
}

// logRefused logs a request that was refused or failed in the gateway. c is nil if it was refused
// before a call was created.
func (l *requestLog) logRefused(r *http.Request, id string, c *call, v *api.View, e *errkind.Error) {
	now := time.Now()
	ok, omitted := l.refused.Allow(now)
	if !ok {
		return
	}
	line := l.line(omitted).WithFields(viewFields(v, now)).WithField("request", id)
	if c != nil {
		line = line.WithFields(c.fields())
	} else {
		line = line.WithField("host", r.Host).WithField("path", routematch.PathOf(r.URL))
	}
	line.WithFields(logrus.Fields{"kind": e.Kind, "not_run": e.NotRun, "reason": e.Message}).Warn("Request refused.")
}

// logAttempt logs the outcome of an attempt that came over a hop.
func (l *requestLog) logAttempt(c *call, p destination, id string, v *api.View, e *errkind.Error) {
	now := time.Now()
	ok, omitted := l.attempts.Allow(now)
	if !ok {
		return
	}
	line := l.line(omitted).WithFields(logrus.Fields{
		"request": c.id, "attempt": id, "target": p.target, "service": c.ref.Service, "partition": c.ref.Partition,
		"epoch": p.epoch, "ms": now.Sub(c.history.began).Milliseconds(),
	})
	if e == nil {
		line.Info("Attempt answered.")
		return
	}
	line.WithFields(viewFields(v, now)).
		WithFields(logrus.Fields{"kind": e.Kind, "not_run": e.NotRun, "reason": e.Message}).Warn("Attempt failed.")
}

func (l *requestLog) line(omitted int64) *logrus.Entry {
	if omitted > 0 {
		return l.entry.WithField("omitted", omitted)
	}
	return l.entry
}
