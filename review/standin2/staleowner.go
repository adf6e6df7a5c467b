package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases["staleowner"] = staleOwner }

const (
	// drainTime is how long an endpoint that drains serves on.
	drainTime = 2500 * time.Millisecond
	// coreDown and sideDown are the times after which the killed processes start again.
	coreDown = 200 * time.Millisecond
	sideDown = 900 * time.Millisecond
	// beforeOthers is the time from a heartbeat of the endpoint that starts again to those of others.
	beforeOthers = 200 * time.Millisecond
	// sinceBeat is the time from a heartbeat of the living endpoint to the kill: its next one finds its node down. A node holds
	// an answer without news for 0.7 s.
	sinceBeat = 800 * time.Millisecond
	// payBefore is how long before the kill the payments are sent; each is payWork of work, with payDeadline to go.
	payBefore   = 80 * time.Millisecond
	payWork     = 2200 * time.Millisecond
	payDeadline = 3 * time.Second
	// sharedLimit is the time for which two endpoints may hold the same keys.
	sharedLimit = 500 * time.Millisecond
)

// lateBeat delivers a heartbeat of a former life of an endpoint once the node takes connections. Its sender has gone, so
// nobody reads the answer.
func (w *world) lateBeat(m *machine, id string, body []byte) error {
	return w.eventually("the late heartbeat arrives at "+m.name, 5*time.Second, func() bool {
		req, _ := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/-/instances/"+id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := beatClient.Do(req)
		if err != nil {
			var dial *net.OpError
			return !errors.As(err, &dial) || dial.Op != "dial"
		}
		_ = resp.Body.Close()
		w.rec.note("late heartbeat has arrived", "of", id, "at", m.name, "status", resp.StatusCode, "body", string(body))
		return true
	})
}

// staleOwner has an endpoint drain, end and start again. Then many processes are killed at the same moment, and a
// heartbeat of the former life arrives late, at the node that has just started.
func staleOwner(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	m := w.sides[0]
	former := w.endpoints[0]
	late, err := former.leave(drainTime)
	if err != nil {
		return false, err
	}
	// Its heartbeats come a little before those of the other endpoints.
	next := w.endpoints[1].began.Add(-beforeOthers)
	for time.Until(next) < time.Second {
		next = next.Add(beatInterval)
	}
	time.Sleep(time.Until(next))
	later, err := w.startEndpoint(m, "i-0-2")
	if err != nil {
		return false, err
	}
	if err := w.eventually("the endpoint that started again holds keys", 15*time.Second, func() bool { return later.keysHeld() >= 2000 }); err != nil {
		return false, err
	}
	began := time.Now()
	var sent time.Time
	err = w.eventually("a heartbeat is answered", 5*time.Second, func() bool {
		later.mu.Lock()
		defer later.mu.Unlock()
		sent = later.answered
		return sent.After(began)
	})
	if err != nil {
		return false, err
	}
	// Right before the kill, customers pay under keys that the endpoint holds. It works on when a connection closes.
	later.setAnswer(func(rw http.ResponseWriter, r *http.Request, ran func()) bool { return later.pay(rw, r, ran) })
	time.Sleep(time.Until(sent.Add(sinceBeat - payBefore)))
	var payments sync.WaitGroup
	for _, key := range later.heldKeys() {
		payments.Go(func() { w.attempt(w.sides[1], http.MethodPost, pathPayment+"x", key, "one", payDeadline) })
	}
	defer payments.Wait()
	time.Sleep(time.Until(sent.Add(sinceBeat)))
	killed := time.Now()
	if trouble {
		if err := w.killMany(killed); err != nil {
			return false, err
		}
	}
	if err := w.lateBeat(m, former.id, late); err != nil {
		return false, err
	}
	time.Sleep(time.Until(killed.Add(8 * time.Second)))
	shared, given := w.judgeHolders(killed), w.judgeWork(later)
	return shared || given, nil
}

// pay is the long work of a payment, which goes on when its connection closes.
func (e *endpoint) pay(rw http.ResponseWriter, r *http.Request, ran func()) bool {
	if r.URL.Path != pathPayment+"x" {
		return false
	}
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	id := r.Header.Get("Request-Id")
	ran()
	began := time.Now()
	time.Sleep(payWork)
	e.mu.Lock()
	e.works = append(e.works, work{id, key, began, time.Now()})
	e.mu.Unlock()
	e.w.rec.note("run ends", "request", id, "endpoint", e.id, "key", key)
	const text = "paid"
	rw.Header().Set("Response-Signature", signature(id, text))
	_, _ = rw.Write([]byte(text))
	return true
}

// judgeWork reports whether another endpoint was given a key on which e was still at work, before its hold would have run
// out.
func (w *world) judgeWork(e *endpoint) (broke bool) {
	now := time.Now()
	e.mu.Lock()
	works := e.works
	e.mu.Unlock()
	own := e.holdings(now)
	for _, x := range works {
		for _, other := range w.endpoints {
			if other == e {
				continue
			}
			for _, s := range other.holdings(now) {
				if x.key < s.first || x.key > s.last || s.from.Before(x.began) || s.from.After(x.ended) {
					continue
				}
				held := slices.ContainsFunc(own, func(o span) bool {
					return o.first <= x.key && x.key <= o.last && o.from.Before(s.from) && o.to.After(s.from)
				})
				w.rec.note("a key is given away while its endpoint is at work on it", "request", x.id, "key", x.key, "at_work", e.id, "from",
					w.rec.seconds(x.began), "to", w.rec.seconds(x.ended), "given_to", other.id, "at", w.rec.seconds(s.from), "hold_not_run_out", held)
				broke = broke || held
			}
		}
	}
	return broke
}

// killMany kills all core processes, and of nine sidecar processes the first and those of the other service, at the same
// moment, and starts them again.
func (w *world) killMany(killed time.Time) error {
	sides := append([]*machine{w.sides[0]}, w.sides[6:]...)
	w.rec.note("all core processes and four sidecar processes are killed")
	var wait sync.WaitGroup
	for _, p := range append(append([]*machine(nil), w.cores...), sides...) {
		wait.Go(p.kill)
	}
	wait.Wait()
	time.Sleep(time.Until(killed.Add(coreDown)))
	for _, p := range w.cores {
		if err := p.start(); err != nil {
			return err
		}
	}
	w.rec.note("the core processes are started")
	time.Sleep(time.Until(killed.Add(sideDown)))
	for _, p := range sides {
		if err := p.start(); err != nil {
			return err
		}
	}
	w.rec.note("the sidecar processes are started")
	return nil
}

// judgeHolders reports whether two endpoints held the same keys for longer than sharedLimit after a time.
func (w *world) judgeHolders(after time.Time) (broke bool) {
	now := time.Now()
	var all []span
	for _, e := range w.endpoints {
		all = append(all, e.holdings(now)...)
	}
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.endpoint == b.endpoint || a.last < b.first || b.last < a.first {
				continue
			}
			from, to := a.from, a.to
			if b.from.After(from) {
				from = b.from
			}
			if b.to.Before(to) {
				to = b.to
			}
			if !to.After(after) || !to.After(from) {
				continue
			}
			w.rec.note("two endpoints held the same keys", "keys", fmt.Sprintf("%d-%d", max(a.first, b.first), min(a.last, b.last)),
				"one", fmt.Sprintf("%s/%d", a.endpoint, a.fence), "other", fmt.Sprintf("%s/%d", b.endpoint, b.fence),
				"from", w.rec.seconds(from), "to", w.rec.seconds(to), "for", to.Sub(from))
			broke = broke || to.Sub(from) > sharedLimit
		}
	}
	return broke
}
