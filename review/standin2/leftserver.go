package main

import (
	"net/http"
	"time"
)

func init() { cases["leftserver"] = leftServer }

const (
	// drainBound is Drain.
	drainBound = 2 * time.Second
	// servesOn is how long the endpoint that has said that it is gone serves on.
	servesOn = 9 * time.Second
	// leftPerSecond is the traffic of its service.
	leftPerSecond = 100
)

// leftServer has an endpoint say that it is gone, without a word before, and serve on for some seconds. Right after the
// acknowledgement many processes are killed at the same moment, and a heartbeat that the endpoint had sent before arrives
// late, at the node that has just started.
func leftServer(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	m := w.sides[6]
	leaving := w.endpoints[6]
	stop := make(chan struct{})
	done := make(chan []answer)
	go func() {
		done <- w.load(leftPerSecond, stop, func(m *machine, _ int) answer {
			return w.attempt(m, http.MethodPost, pathAssign+"x", -1, "one", time.Second)
		})
	}()
	time.Sleep(time.Second)
	late := leaving.body() // sent, and on its way for seconds
	leaving.cancel()       // it sends no heartbeats any more
	if status := leaving.gone(); status/100 != 2 {
		close(stop)
		<-done
		return false, errNotAcknowledged
	}
	acknowledged := time.Now()
	from := acknowledged.Add(drainBound)
	if trouble {
		if err := w.killMany(acknowledged); err != nil {
			return false, err
		}
		// The node that has started counts as in touch from then on.
		if calm := time.Now().Add(stabilityWindow + 100*time.Millisecond); calm.After(from) {
			from = calm
		}
	}
	if err := w.lateBeat(m, leaving.id, late); err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	close(stop)
	taken := map[string]*machine{}
	for _, a := range <-done {
		taken[a.id] = a.node
	}
	count := 0
	for _, r := range w.runs.all() {
		if r.endpoint == leaving.id && r.at.After(from) {
			w.rec.note("run at the endpoint that has left", "request", r.id, "taken_by", taken[r.id].name, "after", r.at.Sub(acknowledged))
			count++
		}
	}
	w.rec.note("judged", "endpoint", leaving.id, "acknowledged", w.rec.seconds(acknowledged), "runs_there_after", w.rec.seconds(from), "count", count)
	return count > 0, nil
}
