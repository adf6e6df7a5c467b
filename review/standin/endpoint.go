package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	beatInterval = 870 * time.Millisecond
	// ackLimit is the time within which a response acknowledges a heartbeat.
	ackLimit = time.Second
	slots    = 18
)

// held is a range of keys that an endpoint holds.
type held struct {
	first, last int
	fence       uint64
	until       time.Time
}

// run is one request that an endpoint has begun.
type run struct {
	id      string
	service string
	path    string
	from    string // endpoint
	at      time.Time
}

// runs collects what all endpoints have run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// endpoint is a server beside a sidecar machine, as the users' pages describe it.
type endpoint struct {
	m       *machine
	id      string
	born    int64
	sharded bool
	runs    *runs
	// work is how long a request takes.
	work func(*http.Request) time.Duration
	// concurrency is the number of slots that it states; slots if it is 0.
	concurrency int

	server *http.Server
	cancel context.CancelFunc
	client *http.Client

	mu       sync.Mutex
	sequence int
	rows     []held
	released [][3]any
	state    string
	paused   bool
}

func newEndpoint(m *machine, runs *runs, sharded bool) *endpoint {
	return &endpoint{
		m: m, id: "i-" + m.name, born: time.Now().UnixMilli(), sharded: sharded, runs: runs, state: "ready",
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		// The heartbeats of an endpoint use connections of their own, as those of a restarted node are lost.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.m.address(portApp))
	if err != nil {
		return err
	}
	return e.startOn(l, http.HandlerFunc(e.serve))
}

func (e *endpoint) startOn(l net.Listener, handler http.Handler) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.server = &http.Server{Handler: handler}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for ctx.Err() == nil {
			began := time.Now()
			if !e.isPaused() {
				e.beat(ctx)
			}
			next := time.Until(began.Add(beatInterval))
			if e.hasReleased() {
				next = 50 * time.Millisecond
			}
			select {
			case <-ctx.Done():
			case <-time.After(next):
			}
		}
	}()
	return nil
}

func (e *endpoint) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused
}

// pauseBeats stops the heartbeats.
func (e *endpoint) pauseBeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = true
}

func (e *endpoint) hasReleased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.released) > 0 && !e.paused
}

// exit ends the endpoint.
func (e *endpoint) exit() {
	if e.cancel != nil {
		e.cancel()
		_ = e.server.Close()
		e.m.d.record.add(e.id, "exits")
	}
}

// heartbeat returns the next heartbeat.
func (e *endpoint) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	holds := [][3]any{}
	for _, h := range e.rows {
		if time.Now().Before(h.until) {
			holds = append(holds, [3]any{h.first, h.last, h.fence})
		}
	}
	concurrency := e.concurrency
	if concurrency == 0 {
		concurrency = slots
	}
	v := map[string]any{
		"Service": e.m.service, "Address": e.m.address(portApp), "Zone": e.m.zone, "Version": "v1", "MaxConcurrency": concurrency,
		"State": e.state, "WarmupLeft": "0ms", "Sequence": e.sequence, "born": e.born,
	}
	if e.sharded {
		v["Holds"], v["Released"] = holds, e.released
	}
	data, _ := json.Marshal(v)
	return data
}

func (e *endpoint) beat(ctx context.Context) {
	released := e.releasedCount()
	body := e.heartbeat()
	sent := time.Now()
	status, data, err := e.call(ctx, http.MethodPut, e.id, body, ackLimit)
	var reply struct {
		Holds *[][4]any
		Hold  string
	}
	if err != nil || status/100 != 2 || len(data) > 4<<10 || json.Unmarshal(data, &reply) != nil {
		e.m.d.record.add(e.id, "heartbeat has no acknowledgement: status %d, error %v", status, err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = e.released[released:]
	if !e.sharded || reply.Holds == nil {
		return
	}
	hold, err := time.ParseDuration(reply.Hold)
	if err != nil {
		return
	}
	e.take(*reply.Holds, sent.Add(hold))
}

func (e *endpoint) releasedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.released)
}

// take replaces what the endpoint holds. Ranges that are left out are released.
func (e *endpoint) take(rows [][4]any, until time.Time) {
	var next []held
	for _, r := range rows {
		next = append(next, held{int(r[0].(float64)), int(r[1].(float64)), uint64(r[2].(float64)), until})
	}
	for _, old := range e.rows {
		if !time.Now().Before(old.until) {
			continue
		}
		for _, gap := range without(old, next) {
			e.released = append(e.released, [3]any{gap[0], gap[1], fmt.Sprintf("h%x-%d", time.Now().UnixNano(), gap[0])})
		}
	}
	if describe(next) != describe(e.rows) {
		e.m.d.record.add(e.id, "holds %s", describe(next))
	}
	e.rows = next
}

// without returns the parts of a range that no row covers.
func without(old held, rows []held) (gaps [][2]int) {
	covered := make(map[int]int)
	for _, r := range rows {
		covered[r.first] = r.last
	}
	start := -1
	for k := old.first; k <= old.last; k++ {
		in := false
		for first, last := range covered {
			if first <= k && k <= last {
				in = true
				break
			}
		}
		switch {
		case !in && start < 0:
			start = k
		case in && start >= 0:
			gaps, start = append(gaps, [2]int{start, k - 1}), -1
		}
	}
	if start >= 0 {
		gaps = append(gaps, [2]int{start, old.last})
	}
	return gaps
}

func describe(rows []held) string {
	keys, text := 0, ""
	for i, r := range rows {
		keys += r.last - r.first + 1
		if i < 3 {
			text += fmt.Sprintf(" %d-%d/%d", r.first, r.last, r.fence)
		}
	}
	return fmt.Sprintf("%d keys in %d rows:%s", keys, len(rows), text)
}

// holding returns the ranges that the endpoint holds now.
func (e *endpoint) holding() []held {
	e.mu.Lock()
	defer e.mu.Unlock()
	var now []held
	for _, h := range e.rows {
		if time.Now().Before(h.until) {
			now = append(now, h)
		}
	}
	return now
}

func (e *endpoint) holds(key int) bool {
	for _, h := range e.holding() {
		if h.first <= key && key <= h.last {
			return true
		}
	}
	return false
}

// call calls the node beside the endpoint.
func (e *endpoint) call(ctx context.Context, method, id string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	url := "http://" + e.m.address(portControl) + "/-/instances/" + id
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// remove says that the endpoint leaves, until that is acknowledged or the limit has passed, and returns when the
// acknowledgement came.
func (e *endpoint) remove(limit time.Duration) (time.Time, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, _, err := e.call(context.Background(), http.MethodDelete, e.id, nil, ackLimit)
		e.m.d.record.add(e.id, "DELETE /-/instances/%s: %d %v", e.id, status, err)
		if err == nil && status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

// serve runs a request if the endpoint may.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if !e.accepts(w, r) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	limit := time.Duration(deadline) * time.Millisecond
	work := e.work(r)
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		return
	}
	status := http.StatusOK
	if limit < work {
		status = http.StatusGatewayTimeout
	}
	e.answer(w, r, status, len(body))
}

// accepts notes the run, or refuses the request.
func (e *endpoint) accepts(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	if target := r.Header.Get("Target-Instance"); target != "" && target != e.id || e.sharded && !e.holds(key) {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.m.d.record.add(e.id, "answers 421 to %s for %s", id, r.Header.Get("Target-Instance"))
		return false
	}
	now := time.Now()
	e.runs.add(run{id: id, service: e.m.service, path: r.URL.Path, from: e.id, at: now})
	e.m.d.record.addAt(now, e.id, "runs %s %s %s", id, r.Method, r.RequestURI)
	return true
}

func (e *endpoint) answer(w http.ResponseWriter, r *http.Request, status, size int) {
	body := fmt.Sprintf("%s of %s has run %s with %d bytes\n", e.id, e.m.service, r.Header.Get("Request-Id"), size)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "signed-"+e.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
