package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["stale-order"] = staleOrder }

const (
	// evacuateLimit is the bound Evacuate.
	evacuateLimit = 5 * time.Second
	// ackTime is the bound Ack: for so long an order may be sent again.
	ackTime = 4 * time.Second
	// freezeTime is how long the core machine stands still.
	freezeTime = 3900 * time.Millisecond
)

// staleOrder takes an evacuation back while a core machine that does not lead is frozen. The order reaches that machine
// first, and another one acknowledges it. Then the zone is evacuated again, and the frozen machine wakes.
func staleOrder(r *record, trouble bool) (int, string) {
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
	leader := d.leader()
	var others []*machine
	for _, m := range d.cores {
		if m != leader {
			others = append(others, m)
		}
	}
	if leader == nil || len(others) != 2 {
		return cannotRun, "the leader is not known"
	}
	frozen, rest := others[0], []*machine{others[1], leader}
	r.add("case", "%s leads, %s is to be frozen", leader.name, frozen.name)
	stop := d.traffic(15*time.Millisecond, func(n int) (*machine, request) { return d.nodes[1+n%3], order })
	// The operator reads the configuration at any machine during the day.
	for range 4 {
		for _, m := range d.cores {
			d.order(m, "GET", "/-/configuration", "", "")
		}
		time.Sleep(time.Second)
	}
	const zone = "/-/evacuations/a"
	if status, _ := d.orderAny(ackTime, "POST", zone, "", "", rest...); status != 200 {
		return cannotRun, "the first evacuation is not acknowledged"
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
	}
	if status, _ := d.orderAny(ackTime, "DELETE", zone, "", "", frozen, others[1], leader); status != 200 {
		return cannotRun, "taking back the evacuation is not acknowledged"
	}
	time.Sleep(500 * time.Millisecond)
	status, acknowledged := d.orderAny(ackTime, "POST", zone, "", "", rest...)
	if status != 200 {
		return cannotRun, "the second evacuation is not acknowledged"
	}
	time.Sleep(time.Until(began.Add(freezeTime)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(acknowledged.Add(2*evacuateLimit + 4*time.Second)))
	stop()
	var late []run
	for _, x := range all.all() {
		// The machines are in touch once the core has been stable since the end of the freeze.
		if x.from == endpoints[0].id && x.at.After(acknowledged.Add(evacuateLimit)) && x.at.After(began.Add(freezeTime+stabilityWindow)) {
			late = append(late, x)
		}
	}
	if len(late) == 0 {
		return held0, fmt.Sprintf("no request reached zone a over %v after the acknowledgement of the second evacuation at %s", evacuateLimit, r.seconds(acknowledged))
	}
	return broken, fmt.Sprintf("%d requests reached %s in zone a over %v after the acknowledgement of the second evacuation at %s, the first at %s and the last at %s",
		len(late), endpoints[0].id, evacuateLimit, r.seconds(acknowledged), r.seconds(late[0].at), r.seconds(late[len(late)-1].at))
}
