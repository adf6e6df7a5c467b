package host

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/boottime"
	"github.com/zinniapier/zinniapier/internal/ports"
)

const pullPartitions = 4

// pullFixture is a registry with one target that pulls its grants.
type pullFixture struct {
	t  *testing.T
	c  *fakeControl
	a  api.Announcement
	at uint64 // sequence of the last announcement
}

func newPullWorld(t *testing.T) *pullFixture {
	return newPullWorldWith(t, Options{})
}

func newPullWorldWith(t *testing.T, o Options) *pullFixture {
	o.Host, o.MaxHold, o.LostAfter = "h1", 2*time.Second, 200*time.Millisecond
	c, _ := newFakeControl(t, o)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := &pullFixture{t: t, c: c}
	w.a = api.Announcement{ID: "i-1@100", Instance: "i-1", StartedMs: 100, Service: testService, Address: l.Addr().String(), Slots: 4}
	c.change(func(v *api.View) {
		v.LeaseEnd = boottime.Now() + time.Hour
		v.Configuration = &api.Configuration{Version: 1, Services: api.Services{Services: []api.Service{{
			Name: testService, Key: &api.KeySource{Header: "K", Span: 400}, Partitions: pullPartitions,
		}}}}
	})
	return w
}

// own assigns partitions with one epoch each; 0 means unassigned.
func (w *pullFixture) own(state api.AssignmentState, epochs ...api.Epoch) {
	w.c.change(func(v *api.View) {
		v.MapVersion++
		list := make([]api.Assignment, pullPartitions)
		for p, epoch := range epochs {
			if epoch > 0 {
				list[p] = api.Assignment{State: state, Target: w.a.ID, Session: v.Session, Epoch: epoch, Place: "p", Handover: fmt.Sprint("from-", epoch)}
			}
		}
		v.Assignments = api.NewAssignmentTable(api.Assignments{testService: list})
	})
}

func (w *pullFixture) pull(p api.Pull) api.PullReply {
	w.t.Helper()
	w.at++
	p.Sequence = w.at
	reply, err := w.c.r.Pull(w.a, p)
	if err != nil {
		w.t.Fatal(err)
	}
	return reply
}

func row(first, last int, epoch api.Epoch, handover string) api.RangeGrant {
	return api.RangeGrant{KeyRange: api.KeyRange{First: first, Last: last}, Epoch: epoch, Handover: handover}
}

// Guards against grants without the handover token of the previous owner, in more ranges than needed, or
// for longer than the lease of the node allows a slow clock.
func TestPullReturnsGrants(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5, 5, 0, 7)
	reply := w.pull(api.Pull{})
	is.True(reply.Renews)
	is.Equal(reply.Grants, []api.RangeGrant{row(0, 199, 5, "from-5"), row(300, 399, 7, "from-7")})
	is.Equal(reply.Hold, 2*time.Second) // the longest hold
	reply = w.pull(api.Pull{Holds: []api.RangeGrant{row(0, 199, 5, ""), row(300, 399, 7, "")}})
	is.Equal(reply.Grants, []api.RangeGrant{row(0, 199, 5, ""), row(300, 399, 7, "")}) // held: no token needed

	w.c.change(func(v *api.View) { v.LeaseEnd = boottime.Now() + time.Second })
	reply = w.pull(api.Pull{})
	is.True(reply.Hold < 980*time.Millisecond) // 2% slow, it still ends within the lease
	is.True(reply.Hold > 900*time.Millisecond)
}

// Guards against a node without a lease that renews or revokes the grants of its target.
func TestPullWithoutLeaseRenewsNothing(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.c.change(func(v *api.View) { v.LeaseEnd = boottime.Now() })
	is.Equal(w.pull(api.Pull{}).Renews, false)
}

// Guards against a move that is reported as released while the target still works on the range, and
// against a lost handover token.
func TestPullReleasesWhenTargetNoLongerHolds(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	w.own(api.Releasing, 5)
	held := []api.RangeGrant{row(0, 99, 5, "")}
	is.Equal(len(w.pull(api.Pull{Holds: held}).Grants), 0) // left out from here
	is.Equal(w.c.released(5), false)
	w.pull(api.Pull{Holds: held}) // still working on it
	is.Equal(w.c.released(5), false)
	w.pull(api.Pull{Released: []api.RangeGrant{row(0, 99, 0, "token")}})
	is.Equal(w.c.r.Released(), []api.Released{{PartitionRef: ref0(), Epoch: 5, Handover: "token"}})
}

// Guards against old announcements that undo later ones or add an ended instance again, and against a
// replaced instance whose ranges are not released before their hold expires.
func TestPullRejectsOldInstances(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	_, err := w.c.r.Pull(w.a, api.Pull{Sequence: 1, Draining: true})
	is.Equal(errkind.Of(err), errkind.Conflict)
	is.Equal(w.c.r.Lookup(w.a.ID).State(), api.TargetServing)

	old := w.a
	w.a.ID, w.a.StartedMs = "i-1@200", 200
	w.pull(api.Pull{})
	eventually(t, "release of the previous instance", func() bool { return w.c.released(5) })
	_, err = w.c.r.Pull(old, api.Pull{Sequence: 99})
	is.Equal(errkind.Of(err), errkind.Conflict)
	older := old
	older.ID, older.StartedMs = "i-0@50", 50
	_, err = w.c.r.Pull(older, api.Pull{Sequence: 99})
	is.Equal(errkind.Of(err), errkind.Conflict)
}

// Guards against an unresponsive target whose ranges are released before its hold has expired.
func TestUnresponsiveTargetKeepsHoldUntilExpiry(t *testing.T) {
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	took := eventually(t, "release", func() bool { return w.c.released(5) })
	if took < 1900*time.Millisecond {
		t.Fatalf("released after %v of a hold of 2 s", took)
	}
}

// Guards against a crashed target whose ranges are held until expiry although its address refuses
// connections.
func TestRefusedConnectionsReleaseAtOnce(t *testing.T) {
	w := newPullWorld(t)
	var err error
	if w.a.Address, err = ports.FreeAddress(); err != nil {
		t.Fatal(err)
	}
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	w.c.r.Lookup(w.a.ID).ReportConnectionRefused()
	if took := eventually(t, "release", func() bool { return w.c.released(5) }); took > time.Second {
		t.Fatalf("released after %v", took)
	}
}

// Guards against cancelling requests in flight because a target that drains, or has too many connections,
// refuses new ones.
func TestRefusedConnectionsKeepAttemptsInFlight(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	var err error
	w.a.Address, err = ports.FreeAddress()
	is.NoErr(err)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	target := w.c.r.Lookup(w.a.ID)
	ctx, end, err := target.Begin(t.Context(), api.PartitionRef{Service: testService}, 5, "k")
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	target.ReportConnectionRefused()
	time.Sleep(5 * refusalRecheckDelay)
	is.NoErr(ctx.Err())
	is.Equal(target.State(), api.TargetServing)
	end()
	eventually(t, "loss once nothing runs", func() bool { return target.State() == api.TargetLost })
	eventually(t, "release", func() bool { return w.c.released(5) })
}

// Guards against a reply beyond 4 KiB: adjacent ranges are joined once their tokens are omitted.
func TestRangesWithoutTokensAreJoined(t *testing.T) {
	is := is.New(t)
	var rows []api.RangeGrant
	for i := range MaxReplyRangesWithTokens + 20 {
		rows = append(rows, row(i*10, i*10+9, 5, fmt.Sprint("token-", i)))
	}
	is.Equal(withoutHandovers(rows), []api.RangeGrant{row(0, (MaxReplyRangesWithTokens+20)*10-1, 5, "")})
}

// Guards against a target that loses keys, or requests that are cancelled, because a partition is split,
// and against a part that cannot be moved alone.
func TestSplitPartitionStaysWithTarget(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5, 5)
	first := w.pull(api.Pull{})
	is.Equal(first.Grants, []api.RangeGrant{row(0, 199, 5, "from-5")})
	target := w.c.r.Lookup(w.a.ID)
	ctx, end, err := target.Begin(t.Context(), api.PartitionRef{Service: testService}, 5, "")
	is.NoErr(err)
	defer end()

	divide := func(states ...api.AssignmentState) {
		w.c.change(func(v *api.View) {
			v.MapVersion++
			c := *v.Configuration
			s := c.Services.Services[0]
			s.Splits = []api.RangeSplit{{Base: 0, First: pullPartitions, Parts: 4}}
			c.Services.Services = []api.Service{s}
			v.Configuration = &c
			a := *v.Assignments[testService].At(1)
			list := make([]api.Assignment, pullPartitions+4)
			list[0], list[1] = api.Assignment{Epoch: 5}, a
			for i := range 4 {
				part := a
				part.State = states[i]
				list[pullPartitions+i] = part
			}
			v.Assignments = api.NewAssignmentTable(api.Assignments{testService: list})
		})
	}
	divide(api.Granted, api.Granted, api.Granted, api.Granted)
	held := []api.RangeGrant{row(0, 199, 5, "")}
	is.Equal(w.pull(api.Pull{Holds: held}).Grants, held)
	is.NoErr(ctx.Err())
	_, endPart, err := target.Begin(t.Context(), api.PartitionRef{Service: testService, Partition: pullPartitions + 2}, 5, "")
	is.NoErr(err)
	endPart()

	divide(api.Granted, api.Releasing, api.Granted, api.Granted)
	rest := []api.RangeGrant{row(0, 24, 5, ""), row(50, 199, 5, "")}
	is.Equal(w.pull(api.Pull{Holds: held}).Grants, rest)
	w.pull(api.Pull{Holds: rest, Released: []api.RangeGrant{row(25, 49, 0, "token")}})
	eventually(t, "release of the part", func() bool {
		for _, r := range w.c.r.Released() {
			if r.Partition == pullPartitions+1 && r.Epoch == 5 && r.Handover == "token" {
				return true
			}
		}
		return false
	})
	is.NoErr(ctx.Err())
}

// Guards against keys that are granted elsewhere while a draining target still holds them: it refuses new
// connections before it has ended.
func TestRefusalByDrainingTargetIsNotLoss(t *testing.T) {
	is := is.New(t)
	w := newPullWorldWith(t, Options{DrainAdmitLimit: 400 * time.Millisecond})
	var err error
	w.a.Address, err = ports.FreeAddress()
	is.NoErr(err)
	w.own(api.Granted, 5)
	w.pull(api.Pull{Draining: true})
	target := w.c.r.Lookup(w.a.ID)
	began := time.Now()
	target.ReportConnectionRefused()
	eventually(t, "loss after the time to leave", func() bool { return target.State() == api.TargetLost })
	is.True(time.Since(began) >= 350*time.Millisecond)
}

// Guards against a reply that a target cannot read because it owns more ranges than fit.
func TestRangesBeyondReplyLimitAreNotGranted(t *testing.T) {
	is := is.New(t)
	const owned = MaxReplyRanges + 10
	w := newPullWorld(t)
	w.c.change(func(v *api.View) {
		v.Configuration.Services.Services[0].Key.Span = 65536
		v.Configuration.Services.Services[0].Partitions = 2 * owned
		v.MapVersion++
		list := make([]api.Assignment, 2*owned)
		for i := range owned {
			list[2*i] = api.Assignment{State: api.Granted, Target: w.a.ID, Session: v.Session, Epoch: 5, Place: "p", Handover: "token"}
		}
		v.Assignments = api.NewAssignmentTable(api.Assignments{testService: list})
	})
	reply := w.pull(api.Pull{})
	is.Equal(len(reply.Grants), MaxReplyRanges)
	is.Equal(reply.Grants[0].Handover, "")
	enter := func(partition int) error {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, end, err := w.c.r.Lookup(w.a.ID).Begin(ctx, api.PartitionRef{Service: testService, Partition: partition}, 5, "")
		if err == nil {
			end()
		}
		return err
	}
	is.NoErr(enter(0))
	is.True(enter(2*(owned-1)) != nil)
}

// Guards against grants and moves that are delayed until the next announcement of the target.
func TestHeldReplyReturnsChangesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted)
	began := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { w.own(api.Granted, 5) })
	is.Equal(w.pull(api.Pull{}).Grants, []api.RangeGrant{row(0, 99, 5, "from-5")})
	is.True(time.Since(began) < 300*time.Millisecond)

	held := []api.RangeGrant{row(0, 99, 5, "")}
	time.AfterFunc(100*time.Millisecond, func() { w.own(api.Releasing, 5) })
	began = time.Now()
	is.Equal(len(w.pull(api.Pull{Holds: held}).Grants), 0)
	is.True(time.Since(began) < 300*time.Millisecond)
}

// Guards against a reply that is held until the announcement fails, and against holding the reply to a
// draining target.
func TestHeldReplyEndsInTime(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	held := []api.RangeGrant{row(0, 99, 5, "")}
	w.pull(api.Pull{})
	began := time.Now()
	is.Equal(w.pull(api.Pull{Holds: held}).Grants, held)
	took := time.Since(began)
	is.True(took >= maxReplyHold && took < maxReplyHold+200*time.Millisecond)
	began = time.Now()
	w.pull(api.Pull{Holds: held, Draining: true})
	is.True(time.Since(began) < 100*time.Millisecond)
}

// Guards against requests to a target after its drain or evacuation limit, when control is too slow to
// move its partitions.
func TestDrainingTargetGetsNoRequestsAfterLimit(t *testing.T) {
	for name, leave := range map[string]func(w *pullFixture){
		"draining": func(w *pullFixture) { w.pull(api.Pull{Draining: true}) },
		"gone":     func(w *pullFixture) { w.c.r.MarkLeaving(w.a.ID) },
		"zone out": func(w *pullFixture) {
			w.c.change(func(v *api.View) {
				c := *v.Configuration
				c.ZonesOut = []string{"z"}
				v.Configuration = &c
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newPullWorldWith(t, Options{Zone: "z", DrainAdmitLimit: 200 * time.Millisecond, OutAdmitLimit: 200 * time.Millisecond})
			w.own(api.Granted, 5)
			w.pull(api.Pull{})
			target := w.c.r.Lookup(w.a.ID)
			leave(w)
			_, done, err := target.Begin(t.Context(), ref0(), 5, "")
			is.NoErr(err) // the partition has not moved yet
			done()
			time.Sleep(250 * time.Millisecond)
			_, _, err = target.Begin(t.Context(), ref0(), 5, "")
			is.Equal(errkind.Of(err), errkind.WrongOwner)
		})
	}
}
