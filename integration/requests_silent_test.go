package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

// silenceLimit is the design's goal for the time until a key is served again after a loss; a
// connection that goes silent is a smaller fault and may not take longer.
const silenceLimit = time.Second

// identity is what changes when a node, target or member is declared dead.
func identity(t *testing.T, c *cluster.Cluster) map[string]string {
	t.Helper()
	status, err := c.Operator().Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]string)
	for _, m := range status.Members {
		found["member "+m.Name] = fmt.Sprint(m.ID, m.Voter)
	}
	for _, n := range status.Nodes {
		found["node "+n.Name] = string(n.Session)
		for _, k := range n.Targets {
			found["target "+string(k.ID)] = fmt.Sprint(k.State)
		}
	}
	return found
}

// TestSilentConnections guards against connections that go silent for good and keep requests
// from being served while new connections work, and against a host, target or member that is
// declared dead because of them.
func TestSilentConnections(t *testing.T) {
	c, key := start(t, cluster.Options{Control: 3, Hosts: hosts("a", "b"), EditTarget: warmTargets})
	behaviour(c, target.Behaviour{WorkMs: 5})
	awaitSettled(t, c)
	before := identity(t, c)
	for _, kind := range []cluster.Kind{cluster.Hop, cluster.Fate, cluster.Orders, cluster.ControlRPC, cluster.Raft} {
		// Many connections are open and idle, more than the requests of the limit use up.
		s := &sender{key: key, method: "POST", deadline: 2000}
		stop := s.load(c.Nodes, 16, mixedPath)
		time.Sleep(faultPause)
		stop()
		if kinds := countKinds(s.outcomes(t)); kinds[outcomeWhole] < len(s.outcomes(t)) {
			t.Errorf("before %s go silent, not all requests are served: %v", kind, kinds)
		}
		for _, l := range linksOf(c, kind) {
			l.Silence()
		}
		checkServedAgain(t, c, key, kind)
		after := identity(t, c)
		for name, value := range before {
			if after[name] != value {
				t.Errorf("%s went silent: %s was %s and is now %q", kind, name, value, after[name])
			}
		}
	}
}

// checkServedAgain sends new requests at an interval from each node and fails the test when one
// that was sent after the limit is not served within the limit.
func checkServedAgain(t *testing.T, c *cluster.Cluster, key string, kind cluster.Kind) {
	t.Helper()
	s := &sender{key: key, method: "POST", deadline: 2000}
	type sent struct {
		at   time.Duration
		kind string
		took time.Duration
	}
	const interval, length = 50 * time.Millisecond, 1500 * time.Millisecond
	results := make(chan sent, 1000)
	began, count := time.Now(), 0
	for i := 0; time.Since(began) < length; i++ {
		for _, n := range c.Nodes {
			count++
			at := time.Since(began)
			go func() {
				o := s.send(t.Context(), n, mixedPath(i, i))
				results <- sent{at, o.kind, o.took}
			}()
		}
		time.Sleep(interval)
	}
	var again, longest time.Duration
	lost := 0
	for range count {
		r := <-results
		if r.kind != outcomeWhole {
			lost++
		}
		if r.kind != outcomeWhole || r.took > silenceLimit {
			again = max(again, r.at+interval)
		}
		if r.kind == outcomeWhole {
			longest = max(longest, r.took)
		}
	}
	s.outcomes(t)
	t.Logf("measure: silent_%s_served_again=%d ms", kind, again.Milliseconds())
	t.Logf("measure: silent_%s_longest_whole=%d ms", kind, longest.Milliseconds())
	t.Logf("measure: silent_%s_not_answered=%d of %d requests", kind, lost, count)
	if again > silenceLimit {
		t.Errorf("%s: requests were lost or slow until %v after the silence", kind, again)
	}
}
