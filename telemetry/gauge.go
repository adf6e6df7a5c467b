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
}{byName: make(map[string]func() int64)}

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
	list := maps.Clone(gauges.byName)
	gauges.Unlock()
	values := make(map[string]int64, len(list))
	for name, f := range list {
		values[name] = f()
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
