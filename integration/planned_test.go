package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/internal/cluster"
)

// working returns hosts whose requests take some time, so that some run at any moment.
func working(zones ...string) cluster.Options {
	o := quotesOnly(3, zones...)
	o.EditTarget = func(_ int, s *config.TargetSettings) { s.ColdSlots, s.WorkMs = 20, 30 }
	return o
}

// TestZoneOutAndIn guards against a zone that goes on getting work after operators have taken it
// out, against requests that fail while it leaves and returns, and against a returned zone that
// gets nothing.
func TestZoneOutAndIn(t *testing.T) {
	is := is.New(t)
	c, key := start(t, working("a", "b", "c"))
	tr := startTraffic(t, c, key, keys)
	time.Sleep(settle)
	out := time.Now()
	c.Change(api.Change{Kind: api.ZoneOut, Name: "a"})
	time.Sleep(shortly + settle)
	in := time.Now()
	c.Change(api.Change{Kind: api.ZoneIn, Name: "a"})
	time.Sleep(shortly + settle)
	list := tr.finish()
	ownedBy(t, list[:len(list)/10], "a") // the zone had work before
	var last time.Duration
	returned := 0
	for _, s := range list {
		if !s.ok || s.zone != "a" || s.start.Before(out) {
			continue
		}
		if s.start.Before(in) {
			last = max(last, s.start.Sub(out))
		} else {
			returned++
		}
	}
	measure(t, "zone_out_last_work", last)
	is.True(last <= shortly) // no new work a few seconds after the zone was taken out
	is.True(returned > 0)    // the returned zone gets work again
	for _, s := range failed(list) {
		t.Errorf("failed request: %v", s)
	}
	tr.expectUnavailable("zone_out_and_in_unavailable", list, out, in.Add(shortly), servedAgain)
}

// expectNoneCutOff checks that every request was answered in full or provably did not run.
func expectNoneCutOff(t *testing.T, list []*sample) {
	t.Helper()
	for _, s := range failed(list) {
		if !s.notRun && !neverAccepted(s) {
			t.Errorf("cut off: %v", s)
		}
	}
}

// TestTargetLeaves guards against requests that a graceful end of a target cuts off, and against
// work that it gets a few seconds later.
func TestTargetLeaves(t *testing.T) {
	c, key := start(t, working("a", "b", "c"))
	tr := startTraffic(t, c, key, keys)
	time.Sleep(settle)
	left := time.Now()
	c.Targets[0].Terminate(readyLimit)
	measure(t, "target_leave", time.Since(left))
	time.Sleep(settle)
	list := tr.finish()
	expectNoneCutOff(t, list)
	tr.expectUnavailable("target_leave_unavailable", list, left, list[len(list)-1].start, servedAgain)
}

// TestNodeTerminates guards against requests that a graceful end of a node cuts off, those that
// came to it from callers and those that came from other nodes.
func TestNodeTerminates(t *testing.T) {
	c, key := start(t, working("a", "b", "c"))
	tr := startTraffic(t, c, key, keys)
	time.Sleep(settle)
	left := time.Now()
	c.Nodes[0].Terminate(readyLimit)
	ended := time.Now()
	measure(t, "node_leave", ended.Sub(left))
	tr.without(c.Nodes[0])
	time.Sleep(settle)
	list := tr.finish()
	expectNoneCutOff(t, list)
	tr.expectUnavailable("node_leave_unavailable", list, left, ended.Add(settle/2), servedAgain)
}

// TestHotKeyMoves guards against a key that has two owners while it moves from its hash partition
// to an assignment of its own. Two hot keys share a partition, so that no move of whole partitions
// can part them.
func TestHotKeyMoves(t *testing.T) {
	const hotInterval = 6 * time.Millisecond
	is := is.New(t)
	c, key := start(t, quotesOnly(3, "a", "b", "c"))
	tr := startTraffic(t, c, key, keys/3)
	hot := tr.keys[0]
	twin := sharing(hot, services().Services[0].Partitions)
	tr.keys = append(tr.keys, twin)
	tr.running.Go(func() { tr.send(hot, 0, hotInterval) })
	tr.running.Go(func() { tr.send(twin, 0, hotInterval) })
	var own api.Override
	began := time.Now()
	cluster.Eventually(t, readyLimit, func() error {
		current, err := c.Operator().Configuration(t.Context())
		if err != nil || len(current.Overrides) == 0 {
			return fmt.Errorf("no key has an assignment of its own: %v", err)
		}
		own = current.Overrides[0]
		return nil
	})
	measure(t, "hot_key_override", time.Since(began))
	is.True(own.Key == hot || own.Key == twin)
	other := twin
	if own.Key == twin {
		other = hot
	}
	awaitParted(t, tr, own, other)
	measure(t, "hot_keys_parted", time.Since(began))
	time.Sleep(settle)
	list := tr.finish()
	tr.expectUnavailable("hot_key_unavailable", list, began.Add(settle), list[len(list)-1].start, servedAgain)
}

// sharing returns a key in the same hash partition as another.
func sharing(key string, partitions int) string {
	for i := 0; ; i++ {
		twin := fmt.Sprintf("twin-%d", i)
		if api.PartitionOf(twin, partitions) == api.PartitionOf(key, partitions) {
			return twin
		}
	}
}

// awaitParted waits until a key runs under its own assignment, and its twin at another target.
func awaitParted(t *testing.T, tr *traffic, own api.Override, twin string) {
	t.Helper()
	cluster.Eventually(t, readyLimit, func() error {
		last := make(map[string]*sample)
		for _, s := range tr.snapshot() {
			if s.ok {
				last[s.key] = s
			}
		}
		a, b := last[own.Key], last[twin]
		if a == nil || b == nil || a.partition != own.Partition || a.instance == b.instance {
			return fmt.Errorf("%s and %s have not parted: %v, %v", own.Key, twin, a, b)
		}
		return nil
	})
}
