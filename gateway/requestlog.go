package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// answeredLines, refusedLines and attemptLines bound the lines of a second. The lines of
	// failures have a bound of their own, so that many answers do not hide them.
	answeredLines = 60
	refusedLines  = 60
	attemptLines  = 100
)

// requestLog writes a line for each request at its first node, and for each attempt that came
// over a hop at the owner's node.
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

// track is what a call remembers of its way, for its line in the log.
type track struct {
	began time.Time

	mu       sync.Mutex
	attempts []string
}

// note adds an attempt at a place with its outcome.
func (t *track) note(p place, took time.Duration, e *errkind.Error) {
	outcome := "answered"
	if e != nil {
		outcome = string(e.Kind)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, fmt.Sprintf("%s %s %d ms", p.target, outcome, took.Milliseconds()))
}

func (t *track) list() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.attempts...)
}

// viewFields are the version and the age of what the node knows.
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
		"request": c.id, "service": c.ref.Service, "ms": time.Since(c.track.began).Milliseconds(),
		"deadline_left_ms": time.Until(c.deadline).Milliseconds(), "attempts": c.track.list(),
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

// done logs an answered request.
func (l *requestLog) done(c *call, status int) {
	telemetry.Observe("route", c.routeName, time.Since(c.track.began))
	ok, omitted := l.answered.Allow(time.Now())
	if !ok {
		return
	}
	l.line(omitted).WithFields(c.fields()).WithField("status", status).Info("Request answered.")
}

// failed logs a request that got a refusal or an error of the system. c is nil when it was
// refused before it was accepted.
func (l *requestLog) failed(r *http.Request, id string, c *call, v *api.View, e *errkind.Error) {
	now := time.Now()
	ok, omitted := l.refused.Allow(now)
	if !ok {
		return
	}
	line := l.line(omitted).WithFields(viewFields(v, now)).WithField("request", id)
	if c != nil {
		line = line.WithFields(c.fields())
	} else {
		line = line.WithField("host", r.Host).WithField("path", r.URL.Path)
	}
	line.WithFields(logrus.Fields{"kind": e.Kind, "not_run": e.NotRun, "reason": e.Message}).Warn("Request refused.")
}

// attempt logs how an attempt that came over a hop ended.
func (l *requestLog) attempt(c *call, p place, id string, v *api.View, e *errkind.Error) {
	now := time.Now()
	ok, omitted := l.attempts.Allow(now)
	if !ok {
		return
	}
	line := l.line(omitted).WithFields(logrus.Fields{
		"request": c.id, "attempt": id, "target": p.target, "service": c.ref.Service, "partition": c.ref.Partition,
		"epoch": p.epoch, "ms": now.Sub(c.track.began).Milliseconds(),
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
