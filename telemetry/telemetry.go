// Package telemetry gives each part of a process its logger and the process its counters.
package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"time"

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

// output is the asynchronous writer of Start; nil before.
var output *asyncWriter

// Start directs all logs to w as one JSON object a line, at the given level. Writing never waits
// for w: lines beyond what w takes are dropped and counted. Flush writes what is left. It
// returns an error for an unknown level.
func Start(w io.Writer, level string) error {
	output = newAsyncWriter(w)
	if err := SetOutput(output, level); err != nil {
		return err
	}
	logrus.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return nil
}

// Flush waits briefly until the lines logged so far are written.
func Flush() {
	if output != nil {
		output.finish()
	}
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

// Handler serves the counters and gauges at /debug/vars, and these and latencies as text at /metrics.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/metrics", serveMetrics)
	return mux
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, m := range []struct {
		name     string
		counters *expvar.Map
	}{{"refusals", refusals}, {"retries", retries}, {"events", events}} {
		m.counters.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(w, "zinnia_%s_total{kind=%q} %s\n", m.name, kv.Key, kv.Value)
		})
	}
	writeGauges(w)
	writeLatencies(w)
}
