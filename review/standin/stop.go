package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopWithWaiting }

const (
	// grace is the bound Grace, after which the platform kills.
	grace = 6 * time.Second
	// lossSlack is the bound LossSlack.
	lossSlack = 200 * time.Millisecond
	// sendUntil is how long after SIGTERM clients still send: two readiness checks, one a second, take a machine out.
	sendUntil = 2 * time.Second
)

// stopWithWaiting stops a node at which requests wait for the owner of their keys, whose zone is evacuated.
func stopWithWaiting(r *record, trouble bool) (int, string) {
	services := map[string]bool{"orders": false, "portal": true}
	rules := []rule{{name: "r-portal", prefix: "/portal/", kind: "non_idempotent", service: "portal", latency: "1200ms", timeout: "5000ms"}}
	d, endpoints, _, err := deployed(r, []string{"portal", "orders", "orders", "portal"}, services, rules)
	defer func() { end(d, endpoints) }()
	if err != nil {
		return cannotRun, err.Error()
	}
	payment := request{method: "POST", path: "/portal/x", shard: 100, deadline: 5 * time.Second, body: "fee"}
	if err := d.awaitServed(payment); err != nil {
		return cannotRun, err.Error()
	}
	if status, _ := d.orderAny(ackTime, "POST", "/-/evacuations/a", "", "", d.cores...); status != 200 {
		return cannotRun, "the evacuation is not acknowledged"
	}
	time.Sleep(4 * time.Second)
	stopped := d.nodes[1]
	stop := d.traffic(50*time.Millisecond, func(n int) (*machine, request) {
		q := payment
		q.shard = n * 997 % 65536
		return stopped, q
	})
	time.Sleep(time.Second)
	began := time.Now()
	ended := make(chan struct{})
	if trouble {
		stopped.signal(syscall.SIGTERM)
		go func() {
			defer close(ended)
			kill := time.AfterFunc(grace, func() { stopped.signal(syscall.SIGKILL) })
			stopped.wait()
			kill.Stop()
		}()
	} else {
		close(ended)
	}
	time.Sleep(sendUntil)
	answers := stop()
	<-ended
	cut, statuses := 0, map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		if a.status == 0 && a.took > lossSlack && a.took < 5*time.Second {
			cut++
		}
	}
	summary := fmt.Sprintf("%d of %d requests, sent until %v after SIGTERM at %s, ended without an answer before their deadline; statuses %v", cut, len(answers), sendUntil, r.seconds(began), statuses)
	if cut > 0 {
		return broken, summary
	}
	return held0, summary
}
