package host

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/target"
)

// Guards against malformed announcements that reach the control leader.
func TestAnnouncementIsChecked(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	good := map[string]any{"id": "a", "service": testService, "address": "127.0.0.1:1", "slots": 4}
	for name, change := range map[string]any{
		"id": "", "service": "", "address": "localhost:1", "slots": 0, "cold_slots": 5,
		"clock_ms": -1, "unknown_field": 1,
	} {
		bad := map[string]any{name: change}
		for k, v := range good {
			if k != name {
				bad[k] = v
			}
		}
		status, _ := post(t, server, api.PathAnnounce, bad)
		is.True(status >= 400) // refused
	}
	is.Equal(len(c.r.Targets()), 0)
	status, reply := post(t, server, api.PathAnnounce, good)
	is.Equal(status, http.StatusOK)
	is.True(reply.Accepted)
	good["slots"] = 5
	status, _ = post(t, server, api.PathAnnounce, good)
	is.Equal(status, http.StatusConflict) // a running instance does not change
}

// Guards against a restarted target that inherits the state of its predecessor.
func TestNewInstanceReplacesOld(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	b := newBlockingTarget(t, "a")
	old := grantTo(t, c, server, b, 5)
	next := b.announcement()
	next.ID = "b"
	status, _ := post(t, server, api.PathAnnounce, next)
	is.Equal(status, http.StatusOK)
	is.Equal(old.State(), api.TargetLost)
	is.True(!c.released(5)) // the old process may still run: its grant has to expire
	eventually(t, "release", func() bool { return c.released(5) })
	is.True(b.grants.Check(0, 5) != nil)
	status, _ = post(t, server, api.PathAnnounce, b.announcement())
	is.Equal(status, http.StatusConflict)
}

// Guards against a reply to a leave request while the target still owns or runs something.
func TestLeaveWaitsForGrantsAndRequests(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	_, end, err := local.Begin(t.Context(), ref0(), 5, "")
	is.NoErr(err)
	left := make(chan bool, 1)
	go func() {
		_, reply := post(t, server, api.PathLeave, b.announcement())
		left <- reply.Left
	}()
	eventually(t, "draining", func() bool { return local.State() == api.TargetDraining })
	c.assign(api.Releasing, "a", 5)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(left), 0)
	end()
	eventually(t, "release", func() bool { return c.released(5) })
	c.assign(api.Unassigned, "", 0)
	is.True(<-left)
	is.True(c.r.Lookup("a") == nil)
	status, _ := post(t, server, api.PathAnnounce, b.announcement())
	is.Equal(status, http.StatusConflict) // a delayed announcement does not add it again
}

// Guards against new unpartitioned requests at a target that is leaving.
func TestDrainingTargetRefusesUnpartitionedRequests(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	s, err := target.NewSample(target.SampleOptions{Service: "orders"})
	is.NoErr(err)
	defer func() { _ = s.Kill() }()
	go func() { _ = s.Serve(t.Context()) }()
	a := s.Announcement()
	post(t, server, api.PathAnnounce, a)
	local := c.r.Lookup(a.ID)
	ref := api.PartitionRef{Service: "orders", Partition: -1}
	_, end, err := local.Begin(t.Context(), ref, 0, "")
	is.NoErr(err)
	local.drain()
	_, _, err = local.Begin(t.Context(), ref, 0, "")
	is.Equal(errkind.Of(err), errkind.ShuttingDown)
	is.True(!local.hasLeft())
	end()
	is.True(local.hasLeft())
	is.NoErr(s.Kill())
	eventually(t, "loss of a target that takes no orders", func() bool { return local.State() == api.TargetLost })
}

// Guards against hot keys that are missed among many keys, and reports of keys that are not hot.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	m := newMeter(start)
	for i := range 4000 {
		// Each rare key has a partition of its own, so that only its small load rules it out.
		m.count(100+i, "rare"+strconv.Itoa(i))
		m.count(1, "")
		if i%2 == 0 {
			m.count(1, "hot")
		}
	}
	loads, hot := m.read(start.Add(time.Second))
	is.Equal(len(hot), 1)
	is.Equal(hot[0].Key, "hot")
	is.True(hot[0].Load > 1000 && hot[0].Load <= 2000)
	is.Equal(loads[1], 3000.0) // half of the first window's 6,000 per second
	for i := range 20 {
		loads, hot = m.read(start.Add(time.Duration(2+i) * time.Second))
	}
	is.Equal(len(hot)+len(loads), 0) // idle partitions are left out
}
