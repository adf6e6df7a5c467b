package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one request that an endpoint has begun to work on.
type run struct {
	id, endpoint, service, zone, path string
	at                                time.Time
}

// runLog collects what all endpoints have run.
type runLog struct {
	mu   sync.Mutex
	list []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.list...)
}

// heldRow is a range of keys that an endpoint holds.
type heldRow struct {
	first, last int
	fence       uint64
	since       time.Time
	until       time.Time
}

// releasePause is the time until the heartbeat that follows a release.
const releasePause = 50 * time.Millisecond

// span is a time for which an endpoint held a range.
type span struct {
	endpoint    string
	first, last int
	fence       uint64
	from, to    time.Time
}

// work is the work on one request that takes long.
type work struct {
	id           string
	key          int
	began, ended time.Time
}

// endpoint is one life of an application endpoint. It heartbeats to the node beside it and runs only requests for keys
// that it holds.
type endpoint struct {
	w       *world
	m       *machine
	id      string
	born    int64
	began   time.Time
	keyed   bool
	work    time.Duration
	cold    time.Time // until when it is cold
	cancel  context.CancelFunc
	server  *http.Server
	beats   sync.WaitGroup
	beating sync.Mutex // held while a heartbeat is under way

	// answer may answer a request in place of the endpoint; ran records that the endpoint works on it.
	answer func(w http.ResponseWriter, r *http.Request, ran func()) (handled bool)

	mu       sync.Mutex
	up       bool
	draining bool
	sequence uint64
	held     []heldRow
	released [][3]any
	spans    []span
	works    []work
	answered time.Time // when the last heartbeat that was answered was sent
}

// startEndpoint starts an endpoint beside the node of the machine.
func (w *world) startEndpoint(m *machine, id string) (*endpoint, error) {
	e := &endpoint{w: w, m: m, id: id, keyed: m.service == keyed, work: 20 * time.Millisecond}
	return e, e.start()
}

func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.m.address(appPort))
	for began := time.Now(); errors.Is(err, syscall.EADDRINUSE) && time.Since(began) < 3*time.Second; {
		time.Sleep(5 * time.Millisecond)
		l, err = net.Listen("tcp", e.m.address(appPort))
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.up, e.began = cancel, true, time.Now()
	e.born = e.began.UnixMilli()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.beats.Go(func() { _ = e.server.Serve(l) })
	e.beats.Go(func() { e.beatOn(ctx) })
	e.w.mu.Lock()
	e.w.endpoints = append(e.w.endpoints, e)
	e.w.mu.Unlock()
	e.w.rec.note("endpoint starts", "id", e.id, "born", e.born, "machine", e.m.name, "service", e.m.service, "zone", e.m.zone)
	return nil
}

func (e *endpoint) setAnswer(f func(w http.ResponseWriter, r *http.Request, ran func()) (handled bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = f
}

// crash ends the endpoint without a word.
func (e *endpoint) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.endSpans(e.held, time.Now())
	e.held = nil
	e.mu.Unlock()
	e.w.rec.note("endpoint crashes", "id", e.id)
	e.cancel()
	_ = e.server.Close()
	e.beats.Wait()
}

// endSpans records that rows are no longer held. The caller holds the lock.
func (e *endpoint) endSpans(rows []heldRow, now time.Time) {
	for _, h := range rows {
		to := now
		if h.until.Before(to) {
			to = h.until
		}
		e.spans = append(e.spans, span{e.id, h.first, h.last, h.fence, h.since, to})
	}
}

// holdings returns all times for which the endpoint held keys, up to now.
func (e *endpoint) holdings(now time.Time) []span {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := append([]span(nil), e.spans...)
	for _, h := range e.held {
		to := now
		if h.until.Before(to) {
			to = h.until
		}
		list = append(list, span{e.id, h.first, h.last, h.fence, h.since, to})
	}
	return list
}

// beatOn sends a heartbeat at each beatInterval, and more while keys are being released.
func (e *endpoint) beatOn(ctx context.Context) {
	due := time.Now()
	for ctx.Err() == nil {
		for !time.Now().Before(due) {
			due = due.Add(beatInterval)
		}
		pause := releasePause
		if !e.beat(ctx) {
			pause = time.Until(due)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// body returns the next heartbeat.
func (e *endpoint) body() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.sequence++
	e.expire(now)
	holds := [][3]any{}
	for _, h := range e.held {
		holds = append(holds, [3]any{h.first, h.last, h.fence})
	}
	v := map[string]any{
		"Service": e.m.service, "Address": e.m.address(appPort), "Zone": e.m.zone, "Version": "v1", "MaxConcurrency": 12,
		"State": "ready", "WarmupLeft": fmt.Sprintf("%dms", max(e.cold.Sub(now).Milliseconds(), 0)), "Sequence": e.sequence, "born": e.born,
	}
	if e.keyed {
		released := e.released
		if released == nil {
			released = [][3]any{}
		}
		v["Holds"], v["Released"] = holds, released
	}
	if e.draining {
		v["State"] = "draining"
	}
	data, _ := json.Marshal(v)
	return data
}

// leave ends the endpoint as planned: it reports that it drains, serves on, says that it is gone, and exits. It returns
// one of its last heartbeats, which is on its way for seconds.
func (e *endpoint) leave(serveOn time.Duration) (late []byte, err error) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.w.rec.note("endpoint drains", "id", e.id)
	e.beat(context.Background())
	time.Sleep(serveOn)
	late = e.body()
	if status := e.gone(); status/100 != 2 {
		return nil, errNotAcknowledged
	}
	e.crash()
	return late, nil
}

// errNotAcknowledged says that an endpoint's leave was not acknowledged.
var errNotAcknowledged = errors.New("the end of an endpoint was not acknowledged")

// gone says that the endpoint is gone and returns the status of the answer.
func (e *endpoint) gone() int {
	req, _ := http.NewRequest(http.MethodDelete, "http://"+e.m.address(controlPort)+"/-/instances/"+e.id, nil)
	resp, err := beatClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	e.w.rec.note("endpoint says that it is gone", "id", e.id, "status", resp.StatusCode)
	return resp.StatusCode
}

// expire drops what is held no longer. The caller holds the lock.
func (e *endpoint) expire(now time.Time) {
	var kept, gone []heldRow
	for _, h := range e.held {
		if now.Before(h.until) {
			kept = append(kept, h)
		} else {
			gone = append(gone, h)
		}
	}
	e.endSpans(gone, now)
	e.held = kept
}

var beatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}

// beat sends a heartbeat and takes its answer. It reports whether something was released, so that another one follows.
func (e *endpoint) beat(ctx context.Context) (again bool) {
	e.beating.Lock()
	defer e.beating.Unlock()
	body := e.body()
	sent := time.Now()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.m.address(controlPort)+"/-/instances/"+e.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := beatClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 || len(data) > 4<<10 {
		return false
	}
	var reply struct {
		Holds *[][4]any
		Hold  string
	}
	if len(data) > 0 && json.Unmarshal(data, &reply) != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered, e.released = sent, nil
	if reply.Holds == nil || !e.keyed || !e.up {
		return false
	}
	hold, err := time.ParseDuration(reply.Hold)
	if err != nil {
		return false
	}
	return e.take(*reply.Holds, sent.Add(hold), time.Now())
}

// take replaces what the endpoint holds and reports whether it released anything. The caller holds the lock.
func (e *endpoint) take(rows [][4]any, until, now time.Time) bool {
	e.expire(now)
	var next []heldRow
	for _, r := range rows {
		h := heldRow{int(r[0].(float64)), int(r[1].(float64)), uint64(r[2].(float64)), now, until}
		next = append(next, h)
	}
	// Keys that are held on keep the time since which they are held.
	var joined []heldRow
	for _, n := range next {
		joined = append(joined, splitBySince(n, e.held)...)
	}
	var ended []heldRow
	for _, old := range e.held {
		ended = append(ended, subtract(old, next)...)
	}
	for _, h := range ended {
		e.released = append(e.released, [3]any{h.first, h.last, fmt.Sprintf("%s-%d", e.id, h.fence)})
	}
	e.endSpans(ended, now)
	if len(ended) > 0 || len(joined) != len(e.held) {
		e.w.rec.note("endpoint holds", "id", e.id, "rows", rowsText(joined), "until", e.w.rec.seconds(until), "released", rowsText(ended))
	}
	e.held = joined
	return len(ended) > 0
}

// splitBySince cuts a new row where parts of it have been held under the same fence before.
func splitBySince(n heldRow, held []heldRow) []heldRow {
	rest := []heldRow{n}
	var list []heldRow
	for _, old := range held {
		if old.fence != n.fence {
			continue
		}
		var left []heldRow
		for _, r := range rest {
			if old.last < r.first || old.first > r.last {
				left = append(left, r)
				continue
			}
			part := heldRow{max(r.first, old.first), min(r.last, old.last), n.fence, old.since, n.until}
			list = append(list, part)
			left = append(left, subtract(r, []heldRow{part})...)
		}
		rest = left
	}
	return append(list, rest...)
}

// subtract returns what is left of a row without others.
func subtract(row heldRow, others []heldRow) []heldRow {
	list := []heldRow{row}
	for _, o := range others {
		var next []heldRow
		for _, r := range list {
			if o.last < r.first || o.first > r.last {
				next = append(next, r)
				continue
			}
			if r.first < o.first {
				part := r
				part.last = o.first - 1
				next = append(next, part)
			}
			if r.last > o.last {
				part := r
				part.first = o.last + 1
				next = append(next, part)
			}
		}
		list = next
	}
	return list
}

func rowsText(rows []heldRow) string {
	var b strings.Builder
	b.WriteByte('[')
	for i, h := range rows {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d-%d/%d", h.first, h.last, h.fence)
	}
	return b.String() + "]"
}

// holdsKey reports whether the endpoint holds a key now.
func (e *endpoint) holdsKey(key int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		if h.first <= key && key <= h.last && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// heldKeys returns a key of each range that the endpoint holds now.
func (e *endpoint) heldKeys() (keys []int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		if time.Now().Before(h.until) {
			keys = append(keys, h.first)
		}
	}
	return keys
}

// keysHeld returns the number of keys that the endpoint holds now.
func (e *endpoint) keysHeld() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		if time.Now().Before(h.until) {
			n += h.last - h.first + 1
		}
	}
	return n
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Warmup-Ms", strconv.FormatInt(max(time.Until(e.cold).Milliseconds(), 0), 10))
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", "1,0,12,100")
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if r.Header.Get("Target-Instance") != e.id || e.keyed && (err != nil || !e.holdsKey(key)) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ran := func() {
		at := time.Now()
		e.w.runs.add(run{id: id, endpoint: e.id, service: e.m.service, zone: e.m.zone, path: r.URL.Path, at: at})
		e.w.rec.note("run begins", "request", id, "endpoint", e.id, "zone", e.m.zone, "path", r.URL.Path)
	}
	e.mu.Lock()
	answer := e.answer
	e.mu.Unlock()
	if answer != nil && answer(w, r, ran) {
		return
	}
	body, _ := io.ReadAll(r.Body)
	ran()
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		return
	}
	text := fmt.Sprintf("%s ran %s with %d bytes", e.id, id, len(body))
	w.Header().Set("Response-Signature", signature(id, text))
	_, _ = io.WriteString(w, text)
}

// signature returns the signature of an endpoint's answer.
func signature(id, body string) string { return fmt.Sprintf("%x.%x", len(body), id) }
