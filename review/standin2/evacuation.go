package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["evacuation"] = evacuation }

// freezeTime is how long the frozen core machine stands still.
const freezeTime = 4 * time.Second

// evacuation has a zone emptied, taken back and emptied again. The order to take it back is sent first to a core machine
// that stands still; the operator gets its acknowledgement from another one.
func evacuation(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	leader := w.leader()
	if leader == nil {
		return false, fmt.Errorf("no leader is known")
	}
	var followers []*machine
	for _, m := range w.cores {
		if m != leader {
			followers = append(followers, m)
		}
	}
	o := operator{w}
	const zone = "ie-b"
	order := "/-/evacuations/" + zone
	if status, err := o.send(http.MethodPost, order, nil, "", followers); status/100 != 2 {
		return false, fmt.Errorf("first evacuation: status %d, %v", status, err)
	}
	time.Sleep(stabilityWindow)
	frozen := followers[0]
	thawed := time.Now()
	thaw := func() {}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		w.rec.note("core machine freezes", "machine", frozen.name)
		began := time.Now()
		thaw = func() {
			time.Sleep(time.Until(began.Add(freezeTime)))
			frozen.signal(syscall.SIGCONT)
			thawed = time.Now()
			w.rec.note("core machine is thawed", "machine", frozen.name)
		}
	}
	if status, err := o.send(http.MethodDelete, order, nil, "", followers); status/100 != 2 {
		return false, fmt.Errorf("withdrawal: status %d, %v", status, err)
	}
	time.Sleep(time.Second)
	if status, err := o.send(http.MethodPost, order, nil, "", followers[1:]); status/100 != 2 {
		return false, fmt.Errorf("second evacuation: status %d, %v", status, err)
	}
	acknowledged := time.Now()
	thaw()
	from := acknowledged.Add(evacuateBound)
	if calm := thawed.Add(stabilityWindow); calm.After(from) {
		from = calm
	}
	stop := make(chan struct{})
	time.AfterFunc(time.Until(from)+6*time.Second, func() { close(stop) })
	w.load(40, stop, func(m *machine, n int) answer {
		if n%2 == 0 {
			return w.attempt(m, http.MethodPost, pathAssign+"x", -1, "one", time.Second)
		}
		return w.attempt(m, http.MethodGet, pathLookup+"x", n*641%65536, "", 1200*time.Millisecond)
	})
	late := 0
	for _, r := range w.runs.all() {
		if r.zone == zone && r.at.After(from) {
			late++
		}
	}
	w.rec.note("judged", "zone", zone, "acknowledged", w.rec.seconds(acknowledged), "runs_there_after", w.rec.seconds(from), "count", late)
	return late > 0, nil
}
