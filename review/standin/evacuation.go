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
	// maxStretch is the bound MaxStretch, by which an unstable core stretches that one at most.
	maxStretch = 5 * time.Second
	// ackTime is the bound Ack: for so long an order may be sent again.
	ackTime = 4 * time.Second
	// freezeTime is how long the core machine stands still.
	freezeTime = 3900 * time.Millisecond
)

// staleOrder takes the evacuations of two zones back while a core machine that does not lead is frozen. The orders reach
// that machine first, and another one acknowledges them. Then the zones are evacuated again, and the frozen machine wakes.
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
	if _, ok := d.orderZones("POST", rest...); !ok {
		return cannotRun, "the first evacuations are not acknowledged"
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
	}
	if _, ok := d.orderZones("DELETE", frozen, others[1], leader); !ok {
		return cannotRun, "taking back the evacuations is not acknowledged"
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged, ok := d.orderZones("POST", rest...)
	if !ok {
		return cannotRun, "the second evacuations are not acknowledged"
	}
	time.Sleep(time.Until(began.Add(freezeTime)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(acknowledged.Add(evacuateLimit + maxStretch + 5*time.Second)))
	stop()
	var late []run
	from := make(map[string]int)
	for _, x := range all.all() {
		evacuated := x.from == endpoints[0].id || x.from == endpoints[1].id
		// The machines are in touch once the core has been stable since the end of the freeze.
		if evacuated && x.at.After(acknowledged.Add(evacuateLimit+maxStretch)) && x.at.After(began.Add(freezeTime+stabilityWindow)) {
			late = append(late, x)
			from[x.from]++
		}
	}
	if len(late) == 0 {
		return held0, fmt.Sprintf("no request reached zones a and b over %v after the acknowledgement of the second evacuations at %s", evacuateLimit+maxStretch, r.seconds(acknowledged))
	}
	return broken, fmt.Sprintf("%d requests reached endpoints in evacuated zones (%v) over %v after the acknowledgement of the second evacuations at %s, the first at %s and the last at %s",
		len(late), from, evacuateLimit+maxStretch, r.seconds(acknowledged), r.seconds(late[0].at), r.seconds(late[len(late)-1].at))
}

// orderZones evacuates the zones a and b, or takes that back, with both orders in progress at once. It returns when the
// later of them was acknowledged.
func (d *deployment) orderZones(method string, machines ...*machine) (acknowledged time.Time, ok bool) {
	type outcome struct {
		status int
		at     time.Time
	}
	outcomes := make(chan outcome)
	for _, zone := range []string{"a", "b"} {
		go func() {
			status, at := d.orderAny(ackTime, method, "/-/evacuations/"+zone, "", "", machines...)
			outcomes <- outcome{status, at}
		}()
	}
	ok = true
	for range 2 {
		o := <-outcomes
		ok = ok && o.status == 200
		if o.at.After(acknowledged) {
			acknowledged = o.at
		}
	}
	return acknowledged, ok
}
