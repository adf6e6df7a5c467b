package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
)

// Guards against requests of this node to a target that has said that it leaves, after the target's own node has
// restarted and forgotten it.
func TestDeparturesEndAfterTheirTime(t *testing.T) {
	is := is.New(t)
	d := departures{admitFor: 2 * time.Second}
	now := time.Now()
	is.True(!d.over("a", now))
	d.record("a", now)
	d.record("a", now.Add(time.Second)) // a later response does not prolong it
	is.True(!d.over("a", now.Add(1999*time.Millisecond)))
	is.True(d.over("a", now.Add(2*time.Second)))
	is.True(!d.over("b", now.Add(2*time.Second)))
	d.record("b", now.Add(2*departureRetention))
	is.Equal(len(d.since), 1)
	unlimited := departures{since: map[api.TargetID]time.Time{"a": now}}
	is.True(!unlimited.over("a", now.Add(time.Hour)))
}

// leavingHeader is the header of a response whose target leaves, in the dialect of the tests.
const leavingHeader = "Test-Leaving"

type leavingDialect struct{ defaultDialect }

func (leavingDialect) ParseStatement(h http.Header) TargetStatement {
	return TargetStatement{RateLimit: -1, Leaving: h.Get(leavingHeader) != ""}
}

// Guards against requests that a node sends to a target after it has passed on that the target leaves (DRAIN), or refuses although
// another target serves: the node has no new map, and the node of the target has forgotten the target's word.
func TestNodeRemembersThatItsTargetLeaves(t *testing.T) {
	is := is.New(t)
	none := 0.0
	traffic := config.Traffic{Attempts: 1, RetryShare: &none, HedgeShare: &none}
	leaves := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(leavingHeader, "1")
		echoOK(w, r)
	})
	stays := newTarget(t, echoOK)
	a, b, entry := newNode(t, "a", leaves.addr(), traffic), newNode(t, "b", stays.addr(), traffic), newNode(t, "entry", "", traffic)
	connect(a, a, b, entry)
	for _, n := range []*testNode{a, b, entry} {
		n.dialect, n.departures.admitFor = leavingDialect{}, 100*time.Millisecond
		for runs := leaves.runs.Load(); leaves.runs.Load() == runs; {
			is.Equal(n.call(t, "POST", "/orders", "x").status, http.StatusOK)
		}
	}
	time.Sleep(150 * time.Millisecond)
	late := leaves.runs.Load()
	for _, n := range []*testNode{a, b, entry} {
		for range 20 {
			is.Equal(n.call(t, "POST", "/orders", "x").status, http.StatusOK)
			is.Equal(explain(t, n.Gateway, "/orders", orgKey).Target.ID, api.TargetID("t-b"))
		}
		is.Equal(n.call(t, "POST", "/quotes/k", "x", "Zinnia-Deadline-Ms", "200").notRun, "true") // its owner leaves
	}
	is.Equal(leaves.runs.Load(), late)
}
