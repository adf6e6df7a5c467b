package host

import (
	"math"
	"sort"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// meterWindow is the time over which loads are counted. Shorter windows make the
	// placement follow noise.
	meterWindow = 500 * time.Millisecond
	// meterWeight is the share of the newest window in the moving average.
	meterWeight = 0.5
	// idleLoad in requests per second is not reported.
	idleLoad = 0.05
	// loadSteps is the number of steps to which one request per second is rounded in reports; a rounded
	// number takes 2 to 4 bytes in a heartbeat, an exact one 9.
	loadSteps = 32
	// sketchSize bounds the keys that are followed at once.
	sketchSize = 64
	// maxKeyLength in bytes of a key that is followed.
	maxKeyLength = 256
	// A key is hot with at least hotShare of its partition and hotLoad requests per second.
	hotShare = 0.25
	hotLoad  = 20.0
	// maxHotKeys bounds the hot keys of one report.
	maxHotKeys = 8
)

// meter measures the load by partition and finds hot keys with the space-saving sketch of
// Metwally, Agrawal and El Abbadi. The caller synchronises.
type meter struct {
	since  time.Time
	counts map[int]int64
	loads  map[int]float64
	hot    []api.HotKey

	index   map[string]int // key to place in entries
	entries []sketchEntry
}

type sketchEntry struct {
	key       string
	partition int
	count     int64
	excess    int64 // the greatest amount by which count may be too high
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
	if key == "" || len(key) > maxKeyLength {
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
	m.entries[rarest] = sketchEntry{key: key, partition: partition, count: old.count + 1, excess: old.count}
}

// read returns copies of the loads in requests per second and the hot keys.
func (m *meter) read(now time.Time) (map[int]float64, []api.HotKey) {
	if elapsed := now.Sub(m.since); elapsed >= meterWindow {
		m.close(elapsed.Seconds())
		m.since = now
	}
	loads := make(map[int]float64, len(m.loads))
	for p, load := range m.loads {
		loads[p] = rounded(load)
	}
	return loads, m.hot
}

// rounded returns a load as it is reported.
func rounded(load float64) float64 { return math.Round(load*loadSteps) / loadSteps }

// close ends a window of the given seconds.
func (m *meter) close(seconds float64) {
	m.hot = m.hotKeys(seconds)
	for p := range m.counts {
		if _, ok := m.loads[p]; !ok {
			m.loads[p] = 0
		}
	}
	for p, old := range m.loads {
		load := old*(1-meterWeight) + float64(m.counts[p])/seconds*meterWeight
		if load < idleLoad {
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
		certain := float64(e.count - e.excess)
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
