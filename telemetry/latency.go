package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestLatency and latencyDigits are the range and the precision of the histograms.
	longestLatency = 60 * time.Second
	latencyDigits  = 2
	// maxSeries bounds the histograms of one part; names beyond it share one.
	maxSeries = 24
	// otherSeries is the name that they share.
	otherSeries = "other"
)

// series names one histogram.
type series struct{ part, name string }

var latencies = struct {
	sync.Mutex
	bySeries map[series]*hdrhistogram.Histogram
	inPart   map[string]int
}{bySeries: make(map[series]*hdrhistogram.Histogram), inPart: make(map[string]int)}

// Observe adds a latency to the histogram of a part and a name, such as "route" and its name.
func Observe(part, name string, d time.Duration) {
	latencies.Lock()
	defer latencies.Unlock()
	key := series{part, name}
	h := latencies.bySeries[key]
	if h == nil && latencies.inPart[part] >= maxSeries {
		key.name = otherSeries
		h = latencies.bySeries[key]
	}
	if h == nil {
		h = hdrhistogram.New(1, longestLatency.Microseconds(), latencyDigits)
		latencies.bySeries[key] = h
		latencies.inPart[part]++
	}
	// A value out of range is counted as the longest.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatency.Microseconds()))
}

// quantiles are what is shown of each histogram, in per cent.
var quantiles = []float64{50, 90, 99, 99.9}

// writeLatencies writes the histograms as text, in seconds.
func writeLatencies(w io.Writer) {
	latencies.Lock()
	defer latencies.Unlock()
	keys := make([]series, 0, len(latencies.bySeries))
	for key := range latencies.bySeries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b series) int {
		return cmp.Or(cmp.Compare(a.part, b.part), cmp.Compare(a.name, b.name))
	})
	for _, key := range keys {
		h := latencies.bySeries[key]
		for _, q := range quantiles {
			at := time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
			fmt.Fprintf(w, "zinnia_latency_seconds{part=%q,name=%q,quantile=\"%g\"} %g\n", key.part, key.name, q/100, at.Seconds())
		}
		fmt.Fprintf(w, "zinnia_latency_seconds_count{part=%q,name=%q} %d\n", key.part, key.name, h.TotalCount())
	}
}
