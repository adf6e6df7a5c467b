package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

const (
	// drainLimit is the bound Drain.
	drainLimit = 2 * time.Second
	// stabilityWindow is the time after which a machine is in touch again.
	stabilityWindow = 3 * time.Second
	// heartbeatDelay is how late the last heartbeat of the leaving endpoint arrives.
	heartbeatDelay = 2500 * time.Millisecond
	// servesOn is how long the leaving endpoint serves after the acknowledgement.
	servesOn = 8 * time.Second
)

// lateHeartbeat kills the node of an endpoint that leaves a moment later. The last heartbeat that the endpoint sent
// before it left arrives late.
func lateHeartbeat(r *record, trouble bool) (int, string) {
	rules := []rule{{name: "r-orders", prefix: "/orders/", kind: "non_idempotent", service: "orders"}}
	d, endpoints, all, err := deployed(r, []string{"orders", "orders", "orders", "portal"}, map[string]bool{"orders": false, "portal": true}, rules)
	defer func() { end(d, endpoints) }()
	if err != nil {
		return cannotRun, err.Error()
	}
	order := request{method: "POST", path: "/orders/x", body: "two pallets"}
	if err := d.awaitServed(order); err != nil {
		return cannotRun, err.Error()
	}
	leaving := endpoints[0]
	// Clients send their requests to the machines that nothing happens to; one is in the zone of the endpoint.
	stop := d.traffic(15*time.Millisecond, func(n int) (*machine, request) { return d.nodes[1+n%3], order })
	time.Sleep(4 * time.Second)
	if trouble {
		if err := leaving.m.killAndRestart(); err != nil {
			return cannotRun, err.Error()
		}
		if !leaving.m.awaitListening(portControl) {
			return cannotRun, "the restarted node does not listen"
		}
	}
	leaving.pauseBeats()
	late := leaving.heartbeat()
	r.add(leaving.id, "sends a heartbeat that arrives in %v: %s", heartbeatDelay, late)
	arrived := make(chan struct{})
	time.AfterFunc(heartbeatDelay, func() {
		defer close(arrived)
		status, reply, err := leaving.call(context.Background(), http.MethodPut, leaving.id, late, ackLimit)
		r.add(leaving.id, "the late heartbeat arrives: %d %s %v", status, reply, err)
	})
	started := time.Now()
	time.Sleep(300 * time.Millisecond)
	acknowledged, ok := leaving.remove(3 * time.Second)
	if !ok {
		return cannotRun, "no acknowledgement that the endpoint leaves"
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	<-arrived
	leaving.exit()
	stop()
	return judgeDrain(r, leaving, all, acknowledged, started)
}

// judgeDrain counts the requests that reached an endpoint too late. Those that the restarted node sent on count once it
// is in touch.
func judgeDrain(r *record, e *endpoint, all *runs, acknowledged, restarted time.Time) (int, string) {
	var late []run
	for _, x := range all.all() {
		if x.from == e.id && x.at.After(acknowledged.Add(drainLimit)) && x.at.After(restarted.Add(stabilityWindow)) {
			late = append(late, x)
		}
	}
	if len(late) == 0 {
		return held0, fmt.Sprintf("no request reached %s over %v after the acknowledgement at %s", e.id, drainLimit, r.seconds(acknowledged))
	}
	return broken, fmt.Sprintf("%d requests reached %s over %v after the acknowledgement at %s, the first at %s and the last at %s",
		len(late), e.id, drainLimit, r.seconds(acknowledged), r.seconds(late[0].at), r.seconds(late[len(late)-1].at))
}
