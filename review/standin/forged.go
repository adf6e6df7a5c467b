package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["forged-heartbeat"] = forgedHeartbeat }

// overlapLimit is how long two endpoints may hold the same keys.
const overlapLimit = 500 * time.Millisecond

// forgedHeartbeat sends one heartbeat of another writer, with fields missing, to the node of an endpoint that holds
// keys, and looks for keys that two endpoints hold.
func forgedHeartbeat(r *record, trouble bool) (int, string) {
	sharded := map[string]bool{"portal": true}
	d, endpoints, _, err := deployed(r, []string{"portal", "portal", "portal"}, sharded, []rule{{name: "r-portal", prefix: "/portal/", kind: "idempotent", service: "portal"}})
	defer func() { end(d, endpoints) }()
	if err != nil {
		return cannotRun, err.Error()
	}
	if !eventually(20*time.Second, func() bool { return allKeysHeld(endpoints) }) {
		return cannotRun, "the endpoints do not hold all keys"
	}
	if err := d.awaitServed(request{path: "/portal/x", shard: 100}, request{path: "/portal/x", shard: 40000}); err != nil {
		return cannotRun, err.Error()
	}
	stop := d.traffic(40*time.Millisecond, func(n int) (*machine, request) {
		return d.nodes[n%len(d.nodes)], request{path: "/portal/x", shard: rand.IntN(65536)}
	})
	watch := watchOverlaps(r, endpoints)
	time.Sleep(4 * time.Second)
	if trouble {
		victim := endpoints[0]
		body, _ := json.Marshal(map[string]any{
			"Service": victim.m.service, "Address": victim.m.address(portApp), "MaxConcurrency": slots,
			"State": "draining", "WarmupLeft": "0ms", "Sequence": 1, "born": time.Now().UnixMilli(),
		})
		status, reply, err := victim.call(context.Background(), http.MethodPut, "i-other", body, ackLimit)
		r.add("writer", "PUT /-/instances/i-other without Zone and Version to %s: %d %q %v; sent: %s", victim.m.name, status, reply, err, body)
	}
	time.Sleep(14 * time.Second)
	longest, where := watch()
	served := 0
	answers := stop()
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
	}
	summary := fmt.Sprintf("two endpoints held the same keys for %v at most (%s); %d of %d requests served", longest.Round(time.Millisecond), where, served, len(answers))
	if longest > overlapLimit {
		return broken, summary
	}
	return held0, summary
}

// allKeysHeld reports whether the endpoints hold all keys together.
func allKeysHeld(endpoints []*endpoint) bool {
	keys := 0
	for _, e := range endpoints {
		for _, h := range e.holding() {
			keys += h.last - h.first + 1
		}
	}
	return keys == 65536
}

// watchOverlaps looks every 10 ms at what the endpoints hold. The returned function ends that and returns the longest
// time for which two endpoints held a key at once.
func watchOverlaps(r *record, endpoints []*endpoint) (stop func() (time.Duration, string)) {
	done, ended := make(chan struct{}), make(chan struct{})
	var longest time.Duration
	where := "none"
	go func() {
		defer close(ended)
		since := make(map[[3]int]time.Time) // first endpoint, second endpoint, first key
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			now := time.Now()
			seen := make(map[[3]int]bool)
			for i, a := range endpoints {
				for j := i + 1; j < len(endpoints); j++ {
					for _, keys := range common(a.holding(), endpoints[j].holding()) {
						k := [3]int{i, j, keys[0]}
						seen[k] = true
						if since[k].IsZero() {
							since[k] = now
							r.add("check", "%s and %s both hold keys %d to %d", a.id, endpoints[j].id, keys[0], keys[1])
						}
						if took := now.Sub(since[k]); took > longest {
							longest, where = took, fmt.Sprintf("%s and %s, keys %d to %d, from %s", a.id, endpoints[j].id, keys[0], keys[1], r.seconds(since[k]))
						}
					}
				}
			}
			for k := range since {
				if !seen[k] {
					delete(since, k)
				}
			}
		}
	}()
	return func() (time.Duration, string) {
		close(done)
		<-ended
		return longest, where
	}
}

// common returns the ranges that are in both lists.
func common(a, b []held) (both [][2]int) {
	for _, x := range a {
		for _, y := range b {
			if first, last := max(x.first, y.first), min(x.last, y.last); first <= last {
				both = append(both, [2]int{first, last})
			}
		}
	}
	return both
}
