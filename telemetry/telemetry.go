// Package telemetry gives each part of a process its logger and the process its counters.
package telemetry

import (
	"expvar"
	"io"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/errkind"
)

// partField is the log field that names the part of the process that writes.
const partField = "part"

// Logger returns the logger of one part, such as "session" or "gate".
func Logger(part string) *logrus.Entry {
	return logrus.WithField(partField, part)
}

// SetOutput directs all logs to w at the given level ("debug", "info", "warning", "error").
// It returns an error for an unknown level.
func SetOutput(w io.Writer, level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	logrus.SetOutput(w)
	logrus.SetLevel(parsed)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return nil
}

var (
	refusals = expvar.NewMap("refusals")
	retries  = expvar.NewMap("retries")
	events   = expvar.NewMap("events")
)

// CountRefusal adds one to the counter of refusals of the kind.
func CountRefusal(kind errkind.Kind) { refusals.Add(string(kind), 1) }

// CountRetry adds one to the counter of retries for the reason, which is the kind of the failed attempt.
func CountRetry(reason errkind.Kind) { retries.Add(string(reason), 1) }

// CountEvent adds n to a named counter that is neither a refusal nor a retry.
func CountEvent(name string, n int64) { events.Add(name, n) }

// Refusals returns the counter of refusals of the kind.
func Refusals(kind errkind.Kind) int64 { return read(refusals, string(kind)) }

// Retries returns the counter of retries for the reason.
func Retries(reason errkind.Kind) int64 { return read(retries, string(reason)) }

// Events returns the counter of the named event.
func Events(name string) int64 { return read(events, name) }

func read(m *expvar.Map, name string) int64 {
	if v, ok := m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Handler serves the counters at /debug/vars.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}
