package host

import (
	"math"
	"sort"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// meterWindow is the time over which loads are counted. Shorter windows make placement follow
	// noise.
	meterWindow = 500 * time.Millisecond
	// newestWindowWeight is the weight of the newest window in the moving average.
	newestWindowWeight = 0.5
	// minReportedLoad is the load in requests per second below which a partition is not reported.
	minReportedLoad = 0.05
	// loadSteps is the number of steps per request per second to which reported loads are rounded; a
	// rounded number takes 2 to 4 bytes in a heartbeat, an exact one 9.
	loadSteps = 32
	// sketchSize bounds the keys that are counted at once.
	sketchSize = 64
	// maxSampledKeyBytes is the length above which a key is not counted.
	maxSampledKeyBytes = 256
	// A key is hot with at least hotShare of the requests of its partition and hotLoad requests per second.
	hotShare = 0.25
	hotLoad  = 20.0
	// maxHotKeys bounds the hot keys of one report.
	maxHotKeys = 8
)

// meter measures the load of each partition and finds hot keys with the space-saving sketch of
// Metwally, Agrawal and El Abbadi. It is not safe for concurrent use.
type meter struct {
	since  time.Time
	counts map[int]int64
	loads  map[int]float64
	hot    []api.HotKey

	index   map[string]int // key to index in entries
	entries []sketchEntry
}

type sketchEntry struct {
	key          string
	partition    int
	count        int64
	maxOvercount int64 // upper bound of the error of count
}

func newMeter(now time.Time) *meter {
	return &meter{
		since:  now,
		counts: make(map[int]int64),
		loads:  make(map[int]float64),
		index:  make(map[string]int, sketchSize),
	}
}

func (m *meter) count(partition int, key string) {
	m.counts[partition]++
	if key == "" || len(key) > maxSampledKeyBytes {
		return
	}
	if i, ok := m.index[key]; ok {
		m.entries[i].count++
		return
	}
	if len(m.entries) < sketchSize {
		m.index[key] = len(m.entries)
		m.entries = append(m.entries, sketchEntry{key: key, partition: partition, count: 1})
		return
	}
	m.replaceRarest(partition, key)
}

func (m *meter) replaceRarest(partition int, key string) {
	rarest := 0
	for i := range m.entries {
		if m.entries[i].count < m.entries[rarest].count {
			rarest = i
		}
	}
	old := m.entries[rarest]
	delete(m.index, old.key)
	m.index[key] = rarest
	m.entries[rarest] = sketchEntry{key: key, partition: partition, count: old.count + 1, maxOvercount: old.count}
}

// read returns copies of the loads in requests per second, and the hot keys.
func (m *meter) read(now time.Time) (map[int]float64, []api.HotKey) {
	if elapsed := now.Sub(m.since); elapsed >= meterWindow {
		m.closeWindow(elapsed.Seconds())
		m.since = now
	}
	loads := make(map[int]float64, len(m.loads))
	for p, load := range m.loads {
		loads[p] = roundLoad(load)
	}
	return loads, m.hot
}

// roundLoad rounds a load for a report.
func roundLoad(load float64) float64 { return math.Round(load*loadSteps) / loadSteps }

// closeWindow ends a window that lasted the given seconds.
func (m *meter) closeWindow(seconds float64) {
	m.hot = m.hotKeys(seconds)
	for p := range m.counts {
		if _, ok := m.loads[p]; !ok {
			m.loads[p] = 0
		}
	}
	for p, old := range m.loads {
		load := old*(1-newestWindowWeight) + float64(m.counts[p])/seconds*newestWindowWeight
		if load < minReportedLoad {
			delete(m.loads, p)
			continue
		}
		m.loads[p] = load
	}
	clear(m.counts)
	clear(m.index)
	m.entries = m.entries[:0]
}

func (m *meter) hotKeys(seconds float64) []api.HotKey {
	var hot []api.HotKey
	for i := range m.entries {
		e := &m.entries[i]
		certain := float64(e.count - e.maxOvercount)
		if certain/seconds < hotLoad || certain < hotShare*float64(m.counts[e.partition]) {
			continue
		}
		hot = append(hot, api.HotKey{Key: e.key, Load: certain / seconds})
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].Load > hot[j].Load })
	if len(hot) > maxHotKeys {
		hot = hot[:maxHotKeys]
	}
	return hot
}
