package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// withLateTargets adds nodes that host a target of the service and have not reported it.
func withLateTargets(w *splitCluster, count int) {
	for i := range count {
		w.sessions[api.SessionID(fmt.Sprint("late", i))] = &session{
			deadline: w.now.Add(time.Hour), last: api.HeartbeatRequest{Hosts: "quotes"},
		}
	}
}

// Guards against partitions that are given to the first targets of a starting fleet, and moved again when
// the others follow.
func TestFirstPlanWaitsForHostedTargets(t *testing.T) {
	is := is.New(t)
	w := newUnplannedCluster(t, 20, 128)
	withLateTargets(w, 20)
	for range 5 {
		is.Equal(len(w.step(t).Grants), 0)
	}
	for i := range 20 {
		name := fmt.Sprint("late", i)
		w.sessions[api.SessionID(name)].last.Targets = []api.TargetReport{{
			ID: api.TargetID(name), Service: "quotes", Slots: 18, State: api.TargetServing, Place: "host-" + name,
		}}
	}
	is.Equal(len(w.step(t).Grants), 128)
	for range 30 {
		is.Equal(len(w.step(t).Revokes), 0)
	}
}

// Guards against a service that is not served because the target of one node never starts.
func TestFirstPlanWaitIsBounded(t *testing.T) {
	is := is.New(t)
	w := newUnplannedCluster(t, 3, 128)
	withLateTargets(w, 1)
	granted := 0
	for range int(maxTargetWait/(100*time.Millisecond)) + 1 {
		granted += len(w.step(t).Grants)
	}
	is.Equal(granted, 128)
}
