package target

import "sync"

// maxCountedRequests bounds the request ids that are counted one by one.
const maxCountedRequests = 1 << 20

// Counters is the answer at PathCounters. All counts are since the start of the target.
type Counters struct {
	Instance string `json:"instance"`
	// Runs counts the requests whose work was started.
	Runs int64 `json:"runs"`
	// Completed counts those whose work took effect.
	Completed int64 `json:"completed"`
	// Cancelled counts those that ended because the caller left or the deadline passed.
	Cancelled int64 `json:"cancelled"`
	// Fenced counts refusals for lack of a current grant, at the start or at the end of the work.
	Fenced int64 `json:"fenced"`
	// Shed counts refusals above the slots or while told to shed.
	Shed int64 `json:"shed"`
	// Overruns counts collapses by too many requests in a cold state.
	Overruns int64 `json:"overruns"`
	// MaxConcurrency and MaxConcurrencyCold are the most requests at work at once.
	MaxConcurrency     int `json:"max_concurrency"`
	MaxConcurrencyCold int `json:"max_concurrency_cold"`
	// RunsByRequest and CompletedByRequest count by request id. Ids beyond 2^20 are not counted
	// one by one but in Uncounted.
	RunsByRequest      map[string]int `json:"runs_by_request"`
	CompletedByRequest map[string]int `json:"completed_by_request"`
	Uncounted          int64          `json:"uncounted"`
}

type counters struct {
	mu      sync.Mutex
	c       Counters
	running int
}

func newCounters(instance string) *counters {
	return &counters{c: Counters{
		Instance:           instance,
		RunsByRequest:      make(map[string]int),
		CompletedByRequest: make(map[string]int),
	}}
}

// enter counts a request as running when admit accepts the number that would then run.
// Refused requests are never counted, so they take no slot from others.
func (k *counters) enter(admit func(running int) bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !admit(k.running + 1) {
		return false
	}
	k.running++
	return true
}

func (k *counters) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
}

func (k *counters) runningNow() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.running
}

// started counts a run and returns the number of runs so far.
func (k *counters) started(requestID string, cold bool) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c.Runs++
	k.c.MaxConcurrency = max(k.c.MaxConcurrency, k.running)
	if cold {
		k.c.MaxConcurrencyCold = max(k.c.MaxConcurrencyCold, k.running)
	}
	k.count(k.c.RunsByRequest, requestID)
	return k.c.Runs
}

func (k *counters) completed(requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c.Completed++
	k.count(k.c.CompletedByRequest, requestID)
}

func (k *counters) count(m map[string]int, requestID string) {
	if requestID == "" {
		return
	}
	if _, known := m[requestID]; !known && len(m) >= maxCountedRequests {
		k.c.Uncounted++
		return
	}
	m[requestID]++
}

// add changes one of the plain counts under the lock.
func (k *counters) add(field func(*Counters) *int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*field(&k.c)++
}

func (k *counters) snapshot() Counters {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.c
	c.RunsByRequest = copyCounts(k.c.RunsByRequest)
	c.CompletedByRequest = copyCounts(k.c.CompletedByRequest)
	return c
}

func copyCounts(m map[string]int) map[string]int {
	copied := make(map[string]int, len(m))
	for id, n := range m {
		copied[id] = n
	}
	return copied
}
