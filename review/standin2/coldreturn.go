package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["coldreturn"] = coldReturn }

const (
	// zoneDown is how long the zone has no power; its nodes are back a little later than its endpoints.
	zoneDown  = 1400 * time.Millisecond
	nodeAfter = 50 * time.Millisecond
	// coldTime, coldRate, coldOver and coldSlack are the Warmup, ColdPerS, ColdOver and ColdSlack of the deployment.
	coldTime  = 3 * time.Second
	coldRate  = 29.0
	coldOver  = 1.5
	coldSlack = 5.0
	// unkeyedPerSecond is the traffic of the service, calls of endpoints included.
	unkeyedPerSecond = 216
)

// coldReturn has a zone lose its power. Its endpoints start again, cold, under the ids that they had. A heartbeat that one of
// them sent before the loss arrives late, at the node that has just started.
func coldReturn(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	leader := w.leader()
	if leader == nil {
		return false, fmt.Errorf("no leader is known")
	}
	m := w.sides[6]
	if m.zone == leader.zone {
		m = w.sides[7]
	}
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() {
		done <- w.load(unkeyedPerSecond, stop, func(m *machine, _ int) answer {
			return w.attempt(m, http.MethodPost, pathAssign+"x", -1, "one", time.Second)
		})
	}()
	time.Sleep(2 * time.Second)
	var later *endpoint
	if trouble {
		var err error
		if later, err = w.loseZone(m); err != nil {
			return false, err
		}
	}
	time.Sleep(coldTime + 2*time.Second)
	close(stop)
	sent := map[string]time.Time{}
	for _, a := range <-done {
		sent[a.id] = a.sent
	}
	if later == nil {
		return false, nil
	}
	return w.judgeCold(later, sent), nil
}

// loseZone takes the power from the zone of m and gives it back. It returns the endpoint beside m that has started again.
func (w *world) loseZone(m *machine) (later *endpoint, err error) {
	var lost []*machine
	former := map[*machine]*endpoint{}
	for _, p := range w.machines() {
		if p.zone == m.zone {
			lost = append(lost, p)
		}
	}
	for _, e := range w.endpoints {
		former[e.m] = e
	}
	late := former[m].body() // sent, and on its way for seconds
	time.Sleep(50 * time.Millisecond)
	w.rec.note("the zone loses its power", "zone", m.zone)
	began := time.Now()
	var wait sync.WaitGroup
	for _, p := range lost {
		wait.Go(p.kill)
		if e := former[p]; e != nil {
			wait.Go(e.crash)
		}
	}
	wait.Wait()
	time.Sleep(time.Until(began.Add(zoneDown)))
	for _, p := range lost {
		if e := former[p]; e != nil {
			next := &endpoint{w: w, m: p, id: e.id, keyed: e.keyed, work: 4 * e.work, cold: time.Now().Add(coldTime)}
			if err := next.start(); err != nil {
				return nil, err
			}
			if p == m {
				later = next
			}
		}
	}
	time.Sleep(nodeAfter)
	for _, p := range lost {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	w.rec.note("the zone has power again")
	return later, w.lateBeat(m, later.id, late)
}

// judgeCold reports whether the endpoint got more requests in a second, while it was cold, than it bears.
func (w *world) judgeCold(e *endpoint, sent map[string]time.Time) bool {
	most, at := 0, time.Time{}
	var runs []run
	for _, r := range w.runs.all() {
		if r.endpoint == e.id && r.at.After(e.began) && r.at.Before(e.cold) {
			runs = append(runs, r)
		}
	}
	// Counted are requests that were sent and arrived inside the second.
	for _, first := range runs {
		from := sent[first.id]
		n := 0
		for _, r := range runs {
			if !sent[r.id].Before(from) && r.at.Sub(from) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	allowed := coldRate*coldOver + coldSlack
	w.rec.note("judged", "endpoint", e.id, "cold_from", w.rec.seconds(e.began), "cold_to", w.rec.seconds(e.cold), "most_in_a_second", most,
		"from", w.rec.seconds(at), "allowed", allowed)
	return float64(most) > allowed
}
