package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"runtime/metrics"
	"slices"
	"sync"
)

var gauges = struct {
	sync.Mutex
	byName map[string]func() int64
	// labelled holds the gauges that have a value for each of several things.
	labelled map[string]labelledGauge
}{byName: make(map[string]func() int64), labelled: make(map[string]labelledGauge)}

// labelledGauge has a value for each thing that its label names.
type labelledGauge struct {
	label string
	read  func() map[string]int64
}

func init() {
	expvar.Publish("gauges", expvar.Func(func() any { return readGauges() }))
	Gauge("heap_bytes", HeapBytes)
	Gauge("memory_bytes", func() int64 { return readMetric("/memory/classes/total:bytes") })
}

// Gauge publishes the current value of f under a name that ends in its unit. f must be safe for concurrent use. It
// replaces an earlier gauge of the name.
func Gauge(name string, f func() int64) {
	gauges.Lock()
	defer gauges.Unlock()
	gauges.byName[name] = f
}

// GaugesBy publishes the current values of f, by the value of a label. f must be safe for concurrent use. It replaces an
// earlier gauge of the name.
func GaugesBy(name, label string, f func() map[string]int64) {
	gauges.Lock()
	defer gauges.Unlock()
	gauges.labelled[name] = labelledGauge{label, f}
}

// HeapBytes returns the memory of the process that live objects and those not yet collected take.
func HeapBytes() int64 { return readMetric("/memory/classes/heap/objects:bytes") }

// readMetric returns a metric of the Go runtime that counts bytes.
func readMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

func readGauges() map[string]int64 {
	gauges.Lock()
	list, labelled := maps.Clone(gauges.byName), maps.Clone(gauges.labelled)
	gauges.Unlock()
	values := make(map[string]int64, len(list))
	for name, f := range list {
		values[name] = f()
	}
	for name, g := range labelled {
		for value, n := range g.read() {
			values[fmt.Sprintf("%s{%s=%q}", name, g.label, value)] = n
		}
	}
	return values
}

// writeGauges writes the gauges as text.
func writeGauges(w io.Writer) {
	values := readGauges()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "zinnia_%s %d\n", name, values[name])
	}
}
