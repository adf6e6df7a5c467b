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
)

// Guards against reassignment by a new leader while nodes unknown to it may hold a lease.
func TestNewLeaderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		w.run(700 * time.Millisecond)
		is.Equal(w.served(), 0)
		is.Equal(w.nodes[0].issued, int64(0)) // no token either
		w.run(300 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		is.True(w.nodes[0].issued > 0)

		silent := w.nodes[0]
		w.nodes = w.nodes[1:]
		w.log.lead(true)
		w.run(700 * time.Millisecond)
		is.Equal(w.served(), testPartitions-len(silent.serves))
		w.run(300 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
	})
}

// Guards against an expired session that keeps its grants, takes longer than 1 s to be
// replaced, or gets its lease renewed while they are on their way to others.
func TestExpiredSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		w.run(time.Second)
		silent := w.nodes[0]
		w.nodes = w.nodes[1:]
		w.run(950 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		w.nodes = append(w.nodes, silent)
		w.run(3 * time.Second)
		is.NoErr(silent.err)
		is.Equal(w.served(), testPartitions)
		is.Equal(len(silent.serves), 4) // it returned and got its share by moves
	})
}

// Guards against a final heartbeat that leaves grants to the expiry of the lease.
func TestFinalHeartbeatReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		w.run(time.Second)
		leaving := w.nodes[0]
		leaving.final, leaving.next = true, time.Now()
		w.run(10 * time.Millisecond)
		w.nodes = w.nodes[1:]
		w.run(150 * time.Millisecond)
		is.Equal(w.served(), testPartitions)
		leaving.beat()
		is.Equal(errkind.Of(leaving.err), errkind.NoLease)
	})
}

// Guards against a zone that keeps work, or whose targets are still offered, after
// operators took it out; with a slow drain and cold receivers.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		for _, n := range w.nodes {
			n.drain = 2 * time.Second
			n.report.Cold = true
		}
		w.run(time.Second)
		is.Equal(w.change(api.Change{Kind: api.ZoneOut, Name: "a"}).Error, (*errkind.Error)(nil))
		w.run(150 * time.Millisecond)
		for _, p := range w.nodes[1].peers {
			is.Equal(p.Targets[0].Out, p.Zone == "a")
		}
		w.run(3500 * time.Millisecond)
		is.Equal(len(w.nodes[0].serves), 0)
		is.Equal(w.served(), testPartitions)
		w.change(api.Change{Kind: api.ZoneIn, Name: "a"})
		w.run(15 * time.Second)
		is.Equal(len(w.nodes[0].serves), 4)
	})
}

// Guards against more concurrent moves into a cold target than it bears.
func TestPaceOfColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 2)
		w.run(time.Second)
		cold := newNode(w, 2)
		cold.report.Cold = true
		w.nodes = append(w.nodes, cold)
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

// Guards against two owners of a hot key while it passes from its hash partition to its
// own: it may move only when all nodes know the override and older requests have ended.
func TestHotKeyOverride(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
		w.run(time.Second)
		const key = "hot"
		hash := api.PartitionOf(key, testPartitions)
		i := slices.IndexFunc(w.nodes, func(n *node) bool { _, ok := n.serves[hash]; return ok })
		owner, late := w.nodes[i], w.nodes[(i+1)%3]
		owner.report.PartitionLoad = map[int]float64{hash: 1000}
		owner.report.HotKeys = []api.HotKey{{Key: key, Load: 600}}
		frozen := *late.config
		w.run(1500 * time.Millisecond)
		view := w.log.machine.View()
		is.Equal(len(view.Configuration.Overrides), 1)
		a := view.Assignments["quotes"][testPartitions]
		is.Equal(a.Target, owner.target)
		is.Equal(uint64(a.Epoch), view.Configuration.Overrides[0].Version)

		owner.report.HotKeys = nil
		owner.report.PartitionLoad = map[int]float64{hash: 400, testPartitions: 600}
		moved := func() bool {
			return w.log.machine.View().Assignments["quotes"][testPartitions].Epoch != a.Epoch
		}
		for range 50 { // one node keeps reporting the version before the override
			late.config = &frozen
			w.run(100 * time.Millisecond)
			is.True(!moved())
		}
		w.run(2 * time.Second)
		is.True(!moved()) // acknowledged, but older requests may still run
		w.run(4 * time.Second)
		is.True(moved() || w.log.machine.View().Assignments["quotes"][hash].Target != owner.target)
	})
}

// Guards against a stream of map deltas that leaves a node with another map than the full one.
func TestMapDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3)
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

// Guards against two owners under random freezes, restarts, lost replies, lost answers of
// the log, zone changes, lost targets and changes of leadership.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandom(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func runRandom(t *testing.T, r *rand.Rand) {
	w := newWorld(t, 5)
	for range 60 {
		w.run(time.Duration(r.IntN(400)) * time.Millisecond)
		n := w.nodes[r.IntN(len(w.nodes))]
		switch r.IntN(10) {
		case 0, 1:
			n.next = time.Now().Add(time.Duration(r.IntN(1500)) * time.Millisecond) // frozen
		case 2:
			n.loseNext = true
		case 3:
			w.log.loseAnswers(r.IntN(3))
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
