package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Guards against a new leader that reassigns partitions or issues tokens while sessions that have not
// reported to it may hold a lease.
func TestNewLeaderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.open("unheard-of")
		w.log.lead(true)
		w.run(700 * time.Millisecond)
		is.Equal(w.served(), 0)
		is.Equal(w.nodes[0].issued, int64(0)) // the session that has not reported may hold tokens
		w.run(300 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		is.True(w.nodes[0].issued > 0)

		unresponsive := w.nodes[0]
		w.nodes = w.nodes[1:]
		w.log.lead(true)
		issued := w.nodes[0].issued
		w.run(700 * time.Millisecond)
		is.Equal(w.served(), testPartitions-len(unresponsive.serves))
		is.Equal(w.nodes[0].issued, issued) // the unresponsive node may hold tokens
		w.run(300 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
	})
}

// Guards against a new leader that issues no tokens for a whole lease although every open session has
// reported to it, and against one that counts a heartbeat with an earlier term as such a report.
func TestNewLeaderIssuesOnceAllReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.run(time.Second)
		w.log.lead(true)
		for _, n := range w.nodes {
			n.term = 0 // the first report may be a delayed one of an earlier term
			n.demand = 30
		}
		issued := w.nodes[0].issued
		w.run(90 * time.Millisecond)
		is.Equal(w.nodes[0].issued, issued)
		w.run(300 * time.Millisecond)
		is.True(w.nodes[0].issued > issued)
	})
}

// Guards against an expired session that keeps its grants, whose partitions are unserved for longer
// than 1 s, or whose lease is renewed while its grants are being released.
func TestExpiredSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.run(time.Second)
		unresponsive := w.nodes[0]
		w.nodes = w.nodes[1:]
		w.run(950 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		w.nodes = append(w.nodes, unresponsive)
		w.run(3 * time.Second)
		is.NoErr(unresponsive.err)
		is.Equal(w.served(), testPartitions)
		is.Equal(len(unresponsive.serves), 4) // it came back and received its share by moves
	})
}

// Guards against partitions that move to other targets when a node is restarted but its target is not.
func TestRestartedNodeKeepsPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.run(time.Second)
		old, granted := w.nodes[0], telemetry.Events("assignment_grants")
		revoked := telemetry.Events("assignment_revokes")
		again := newNode(w, 0)
		again.target, again.report.ID = old.target, old.target
		w.nodes[0] = again
		w.run(1500 * time.Millisecond)
		is.Equal(len(again.serves), 4)
		is.Equal(telemetry.Events("assignment_grants"), granted+4)
		is.Equal(telemetry.Events("assignment_revokes"), revoked)
	})
}

// Guards against grants that stay until the lease expires although the node sent its final heartbeat.
func TestFinalHeartbeatReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.run(time.Second)
		leaving := w.nodes[0]
		leaving.final, leaving.next = true, time.Now()
		w.run(10 * time.Millisecond)
		w.nodes = w.nodes[1:]
		w.run(150 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		leaving.sendHeartbeat()
		is.Equal(errkind.Of(leaving.err), errkind.NoLease)
	})
}

// Guards against a zone that keeps partitions, or whose targets are not marked as out, after operators
// took it out; with a slow drain and cold receiving targets.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		for _, n := range w.nodes {
			n.drain = 2 * time.Second
			n.report.Cold = true
		}
		w.run(time.Second)
		is.Equal(w.change(api.Change{Kind: api.ZoneOut, Name: "a"}).Error, (*errkind.Error)(nil))
		w.run(250 * time.Millisecond)
		for _, p := range w.nodes[1].peers {
			is.Equal(p.Targets[0].Out, p.Zone == "a")
		}
		status, _ := w.control.getStatus(t.Context(), nil)
		is.Equal(len(status.(*api.Status).Nodes), 3)
		for _, n := range status.(*api.Status).Nodes {
			is.Equal(n.ConfigVersion, status.(*api.Status).Version) // acknowledged
		}
		w.run(3500 * time.Millisecond)
		is.Equal(len(w.nodes[0].serves), 0)
		is.Equal(w.served(), testPartitions)
		w.change(api.Change{Kind: api.ZoneIn, Name: "a"})
		w.run(15 * time.Second)
		is.Equal(len(w.nodes[0].serves), 4)
	})
}

// Guards against more than one concurrent move to a cold target under load.
func TestConcurrentMovesToColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 2)
		w.run(time.Second)
		cold := newNode(w, 2)
		cold.report.Cold = true
		w.nodes = append(w.nodes, cold)
		load := make(map[int]float64)
		for p := range testPartitions {
			load[p] = 10
		}
		for _, n := range w.nodes {
			n.report.PartitionLoad = load
		}
		for _, n := range w.nodes {
			n.drain = 500 * time.Millisecond
		}
		for range 400 {
			w.run(10 * time.Millisecond)
			moving := 0
			for _, a := range w.log.machine.View().Assignments["quotes"] {
				if a.State == api.Releasing {
					moving++
				}
			}
			is.True(moving <= 1)
		}
		w.run(3 * time.Second)
		is.Equal(len(cold.serves), 4)
	})
}

// Guards against idle partitions that move to cold targets one at a time: the first target of a new
// deployment would own nearly all of them for many seconds.
func TestIdlePartitionsSpreadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 1)
		w.run(time.Second)
		cold := newNode(w, 1)
		cold.report.Cold = true
		w.nodes = append(w.nodes, cold)
		w.run(3 * time.Second)
		is.Equal(len(cold.serves), testPartitions/2)
	})
}

// newOverriddenCluster returns a cluster with an override of a hot key, the owner of both the override
// and the key's hash partition, and the index of that partition.
func newOverriddenCluster(t *testing.T) (w *testCluster, owner *node, hash int) {
	is := is.New(t)
	w = newTestCluster(t, 3)
	w.run(time.Second)
	hash = api.PartitionOf("hot", testPartitions)
	i := slices.IndexFunc(w.nodes, func(n *node) bool { _, ok := n.serves[hash]; return ok })
	owner = w.nodes[i]
	owner.report.PartitionLoad = map[int]float64{hash: 1000}
	owner.report.HotKeys = []api.HotKey{{Key: "hot", Load: 600}}
	w.run(1500 * time.Millisecond)
	view := w.log.machine.View()
	is.Equal(len(view.Configuration.Overrides), 1)
	is.Equal(view.Assignments["quotes"][testPartitions].Target, owner.target)
	is.True(view.Assignments["quotes"][hash].Epoch < view.Assignments["quotes"][testPartitions].Epoch)
	return w, owner, hash
}

// checkHotKeyOwner runs the cluster for d and fails when the override is revoked or moved while its hash
// partition is still granted as before the override. It reports whether the override moved.
func checkHotKeyOwner(w *testCluster, hash int, d time.Duration) (moved bool) {
	first := w.log.machine.View().Configuration.Overrides[0].Version
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.run(10 * time.Millisecond)
		list := w.log.machine.View().Assignments["quotes"]
		if h := list[hash]; list[testPartitions].State == api.Releasing && h.State == api.Granted && uint64(h.Epoch) < first {
			w.t.Fatal("the override is revoked although it cannot be released yet")
		}
		if moved = uint64(list[testPartitions].Epoch) != first; moved {
			if h := list[hash]; h.State != api.Unassigned && uint64(h.Epoch) < first {
				w.t.Fatal("the override has moved while earlier requests for its key may be in flight")
			}
		}
	}
	return moved
}

// Guards against balancing that moves an override while requests for its key are in flight.
func TestHotKeyBalanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, owner, hash := newOverriddenCluster(t)
		owner.report.HotKeys = nil
		owner.report.PartitionLoad = map[int]float64{hash: 700, testPartitions: 600}
		checkHotKeyOwner(w, hash, 3*time.Second)
	})
}

// Guards against an override that leaves a target taken out before the key's hash partition does.
func TestHotKeyEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, owner, hash := newOverriddenCluster(t)
		owner.slow = map[int]time.Duration{hash: 1500 * time.Millisecond}
		w.change(api.Change{Kind: api.TargetOut, Name: string(owner.target)})
		is.True(checkHotKeyOwner(w, hash, 3*time.Second))
		is.Equal(w.served(), testPartitions+1)
	})
}

// Guards against an override that may move before all nodes have acknowledged it and the deadline of
// earlier requests has passed, and against one that may never move.
func TestHeldOverride(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLeader(&Options{}, nil, 1, now)
	l.sessions["s1"] = &session{last: api.HeartbeatRequest{ConfigVersion: 9}}
	l.sessions["s2"] = &session{last: api.HeartbeatRequest{ConfigVersion: 8}}
	q := api.Assignment{State: api.Granted, Target: "t1", Session: "s1", Epoch: 9}
	hash := api.Assignment{State: api.Granted, Target: "t1", Session: "s1", Epoch: 5}
	view := &api.ControlState{Assignments: api.Assignments{"quotes": {hash, q}}}
	view.Configuration.Services.Services = []api.Service{{Name: "quotes", Partitions: 1, DeadlineMs: 3000}}
	view.Configuration.Overrides = []api.Override{{Service: "quotes", Key: "hot", Partition: 1, Version: 9}}
	overrideHeld := func(after time.Duration) bool {
		return (&servicePlan{leader: l, view: view, name: "quotes", now: now.Add(after)}).overrideHeld(1, q)
	}
	is.True(overrideHeld(0))
	is.True(overrideHeld(time.Minute)) // s2 has not acknowledged
	l.sessions["s2"].last.ConfigVersion = 9
	is.True(overrideHeld(time.Minute))
	is.True(overrideHeld(time.Minute + 2999*time.Millisecond))
	is.True(!overrideHeld(time.Minute + 3*time.Second))
}

// Guards against map deltas after which a node's map differs from the leader's.
func TestMapDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.run(time.Second)
		w.change(api.Change{Kind: api.TargetOut, Name: string(w.nodes[2].target)})
		w.run(2 * time.Second)
		for p, a := range w.log.machine.View().Assignments["quotes"] {
			for _, n := range w.nodes {
				_, serves := n.serves[p]
				is.Equal(serves, n.session == a.Session)
			}
		}
	})
}

// Guards against two owners of a partition under random freezes, restarts, lost heartbeat replies, lost
// replies of the log, zone changes, lost targets and leadership changes.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runRandomFaults(t *testing.T, r *rand.Rand) {
	w := newTestCluster(t, 5)
	for range 60 {
		w.run(time.Duration(r.IntN(400)) * time.Millisecond)
		n := w.nodes[r.IntN(len(w.nodes))]
		switch r.IntN(10) {
		case 0, 1:
			n.next = time.Now().Add(time.Duration(r.IntN(1500)) * time.Millisecond) // frozen
		case 2:
			n.loseNextReply = true
		case 3:
			w.log.loseReplies(r.IntN(3))
		case 4:
			w.change(api.Change{Kind: api.ZoneOut, Name: n.zone})
		case 5:
			w.change(api.Change{Kind: api.ZoneIn, Name: n.zone})
		case 6:
			w.log.lead(true)
		case 7:
			n.final, n.next = true, time.Now()
			w.run(10 * time.Millisecond)
			i := slices.Index(w.nodes, n)
			w.nodes[i] = newNode(w, i)
		case 8:
			n.drain = time.Duration(r.IntN(2000)) * time.Millisecond
		case 9:
			n.report.State = []api.TargetState{api.TargetServing, api.TargetDraining, api.TargetLost}[r.IntN(3)]
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		w.change(api.Change{Kind: api.ZoneIn, Name: zone})
	}
	for _, n := range w.nodes {
		n.report.State, n.drain = api.TargetServing, 0
	}
	w.run(8 * time.Second)
	if got := w.served(); got != testPartitions {
		t.Fatalf("%d of %d partitions are served after all faults have ended", got, testPartitions)
	}
}
