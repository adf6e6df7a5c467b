package host

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/target"
)

const (
	testService = "quotes"
	testLease   = 700 * time.Millisecond
)

type fakeGate struct{}

func (fakeGate) Load() (float64, bool) { return 0, false }

func (fakeGate) ServiceTime() time.Duration { return 0 }

func (fakeGate) Capacity() float64 { return 0 }

func (fakeGate) SetColdRate(time.Duration, float64) {}

func (fakeGate) SetNamedRate(float64) {}

func (fakeGate) ColdStart() bool    { return false }
func (fakeGate) Requests() int      { return 0 }
func (fakeGate) NamedRate() float64 { return 0 }

// fakeControl replaces the session and the leader: it renews the lease and publishes assignments.
type fakeControl struct {
	view atomic.Pointer[api.View]
	mu   sync.Mutex
	r    *Registry
}

func newFakeControl(t *testing.T, o Options) (*fakeControl, *httptest.Server) {
	c := &fakeControl{}
	c.view.Store(&api.View{Session: "s1", LeaseUntil: time.Now().Add(testLease), Index: &api.ViewIndex{}})
	o.View = c.view.Load
	o.NewGate = func(api.Announcement) Gate { return fakeGate{} }
	c.r = NewRegistry(o)
	server := httptest.NewServer(c.r.AnnounceHandler())
	t.Cleanup(server.Close)
	go func() { _ = c.r.Serve(t.Context()) }()
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(50 * time.Millisecond)
			c.change(func(v *api.View) {
				if v.LeaseValid(time.Now()) {
					v.LeaseUntil = time.Now().Add(testLease)
				}
			})
		}
	}()
	return c, server
}

func (c *fakeControl) change(f func(v *api.View)) {
	c.mu.Lock()
	v := *c.view.Load()
	f(&v)
	c.view.Store(&v)
	c.mu.Unlock()
	c.r.Update(&v)
}

// assign publishes the only assignment of partition 0.
func (c *fakeControl) assign(state api.AssignmentState, id api.TargetID, epoch api.Epoch) {
	c.change(func(v *api.View) {
		v.MapVersion++
		a := api.Assignment{State: state, Target: id, Session: v.Session, Epoch: epoch}
		v.Assignments = api.NewAssignmentTable(api.Assignments{testService: {a}})
	})
}

func (c *fakeControl) released(epoch api.Epoch) bool {
	for _, rel := range c.r.Released() {
		if rel.Epoch == epoch {
			return true
		}
	}
	return false
}

func ref0() api.PartitionRef { return api.PartitionRef{Service: testService} }

// eventually waits for the condition and returns the time that it took.
func eventually(t *testing.T, what string, f func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !f() {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// blockingTarget is a target whose orders can be delayed while its clock runs on.
type blockingTarget struct {
	grants *target.Grants
	server *httptest.Server
	blocks atomic.Bool
	delay  atomic.Int64 // of each order, in nanoseconds
	id     api.TargetID
	orders atomic.Int64
}

func newBlockingTarget(t *testing.T, id api.TargetID) *blockingTarget {
	b := &blockingTarget{id: id, grants: target.NewGrants(id, nil)}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.orders.Add(1)
		for b.blocks.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Duration(b.delay.Load()))
		b.grants.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		b.blocks.Store(false)
		b.server.Close()
	})
	return b
}

func (b *blockingTarget) announcement() api.Announcement {
	return api.Announcement{ID: b.id, Service: testService, Address: b.server.Listener.Addr().String(),
		Slots: 10, ChecksGrants: true, ClockMs: b.grants.ClockMs()}
}

func post(t *testing.T, server *httptest.Server, path string, v any) (int, api.AnnouncementReply) {
	t.Helper()
	body, _ := json.Marshal(v)
	resp, err := http.Post(server.URL+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply api.AnnouncementReply
	_ = json.NewDecoder(resp.Body).Decode(&reply)
	return resp.StatusCode, reply
}

// grantTo announces the target and grants it partition 0 at the epoch.
func grantTo(t *testing.T, c *fakeControl, server *httptest.Server, b *blockingTarget, epoch api.Epoch) *Target {
	t.Helper()
	status, _ := post(t, server, api.PathAnnounce, b.announcement())
	if status != http.StatusOK {
		t.Fatalf("announce answered %d", status)
	}
	c.assign(api.Granted, b.id, epoch)
	local := c.r.Lookup(b.id)
	eventually(t, "delivery of the grant", func() bool { return b.grants.Check(0, epoch) == nil })
	return local
}

// Guards against a release while a request is in flight, and against new requests during a drain.
func TestHandoverWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{OrderInterval: 400 * time.Millisecond}) // so that only the event is prompt
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	_, end, err := local.Begin(t.Context(), ref0(), 5, "k")
	is.NoErr(err)
	c.assign(api.Releasing, "a", 5)
	time.Sleep(150 * time.Millisecond)
	is.True(!c.released(5))                              // the request still runs
	is.NoErr(b.grants.Check(0, 5))                       // and may finish at the target
	_, _, err = local.Begin(t.Context(), ref0(), 5, "k") // no new work
	is.Equal(errkind.Of(err), errkind.WrongOwner)
	end()
	took := eventually(t, "release", func() bool { return c.released(5) })
	is.True(took < 100*time.Millisecond)
	is.True(b.grants.Check(0, 5) != nil) // the target has acknowledged the revoke
	c.assign(api.Granted, "a", 6)
	is.True(!c.released(5)) // the report ends once the map shows a newer epoch
}

// Guards against a handover that never ends because a request does not end.
func TestDrainLimitCancelsAttempts(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{DrainLimit: 200 * time.Millisecond})
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	ctx, end, err := local.Begin(t.Context(), ref0(), 5, "")
	is.NoErr(err)
	c.assign(api.Releasing, "a", 5)
	took := eventually(t, "cancellation", func() bool { return ctx.Err() != nil })
	is.True(took >= 190*time.Millisecond)
	end()
	eventually(t, "release", func() bool { return c.released(5) })
}

// Guards against two owners: the grant of a frozen target is released only after it has expired by the
// clock of the target.
func TestFrozenTargetIsReleasedAfterExpiry(t *testing.T) {
	is := is.New(t)
	// Grants that outlive the detection of the loss, up to the end of the lease.
	c, server := newFakeControl(t, Options{GrantTTL: time.Second})
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	b.blocks.Store(true)
	took := eventually(t, "loss", func() bool { return local.State() == api.TargetLost })
	is.True(took >= 300*time.Millisecond)
	is.True(took < 700*time.Millisecond)
	_, _, err := local.Begin(t.Context(), ref0(), 5, "")
	is.Equal(errkind.Of(err), errkind.NoTarget)
	eventually(t, "release", func() bool {
		fenced := b.grants.Check(0, 5) != nil
		released := c.released(5)
		is.True(!released || fenced || b.grants.Check(0, 5) != nil) // released while the target still held it
		return released
	})
	b.blocks.Store(false)
	eventually(t, "return", func() bool { return local.State() == api.TargetServing })
	is.True(b.grants.Check(0, 5) != nil) // delayed orders renew nothing
}

// Guards against a release that waits for the expiry although the process has ended, and against one
// while an attempt is in flight.
func TestEndedProcessIsReleasedAtOnce(t *testing.T) {
	for _, inFlight := range []bool{false, true} {
		is := is.New(t)
		c, server := newFakeControl(t, Options{GrantTTL: 2 * time.Second, LostAfter: time.Second})
		c.change(func(v *api.View) { v.LeaseUntil = time.Now().Add(time.Minute) })
		b := newBlockingTarget(t, "a")
		local := grantTo(t, c, server, b, 5)
		end := func() {}
		if inFlight {
			var err error
			_, end, err = local.Begin(t.Context(), ref0(), 5, "")
			is.NoErr(err)
		}
		b.server.CloseClientConnections()
		b.server.Close()
		eventually(t, "loss", func() bool { return local.State() == api.TargetLost })
		if inFlight {
			time.Sleep(150 * time.Millisecond)
			is.True(!c.released(5))
		}
		end()
		took := eventually(t, "release", func() bool { return c.released(5) })
		is.True(took < 300*time.Millisecond)
	}
}

// Guards against grants that outlive the session lease at the target.
func TestGrantsEndWithTheLease(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	end := time.Now().Add(200 * time.Millisecond)
	c.change(func(v *api.View) { v.LeaseUntil = end })
	c.mu.Lock() // no more renewals, but orders go on
	defer c.mu.Unlock()
	time.Sleep(time.Until(end) + time.Millisecond)
	is.True(b.grants.Check(0, 5) != nil)
	_, _, err := local.Begin(t.Context(), ref0(), 5, "")
	is.Equal(errkind.Of(err), errkind.NoLease)
	before := b.orders.Load()
	time.Sleep(300 * time.Millisecond)
	is.True(b.orders.Load() > before) // the loss of the target is still noticed
	is.Equal(local.State(), api.TargetServing)
	is.True(b.grants.Check(0, 5) != nil)
}

// Guards against work under an epoch other than that in the map.
func TestBeginChecksEpochAndOwner(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	b := newBlockingTarget(t, "a")
	local := grantTo(t, c, server, b, 5)
	kindOf := func(ref api.PartitionRef, epoch api.Epoch) errkind.Kind {
		_, _, err := local.Begin(t.Context(), ref, epoch, "")
		return errkind.Of(err)
	}
	is.Equal(kindOf(ref0(), 4), errkind.StaleEpoch)
	is.Equal(kindOf(ref0(), 6), errkind.WrongOwner)
	is.Equal(kindOf(api.PartitionRef{Service: testService, Partition: 1}, 0), errkind.WrongOwner)
	is.Equal(kindOf(api.PartitionRef{Service: "other", Partition: -1}, 0), errkind.WrongOwner)
	c.change(func(v *api.View) { v.Session = "s2" }) // a new session owns nothing of the old one
	is.Equal(kindOf(ref0(), 5), errkind.WrongOwner)
	eventually(t, "revoke at the target", func() bool { return b.grants.Check(0, 5) != nil })
	is.Equal(len(c.r.Released()), 0) // grants of another session are not ours to release
	c.assign(api.Granted, "a", 4)    // older than epoch 5
	time.Sleep(50 * time.Millisecond)
	is.True(b.grants.Check(0, 4) != nil)
	is.True(local.idle()) // the node itself drops it
}

// Guards against a grant that a target ignores because it took orders with higher sequences from a
// previous process of the node.
func TestOrdersContinueAfterPreviousNodeProcess(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	b := newBlockingTarget(t, "a")
	is.NoErr(b.grants.Accept(&api.Orders{Target: "a", Sequence: 1000}))
	local := grantTo(t, c, server, b, 5)
	_, end, err := local.Begin(t.Context(), ref0(), 5, "")
	is.NoErr(err)
	end()
}

// Guards against two owners of a partition that moves between two targets under load.
func TestOneOwnerWhileMoving(t *testing.T) {
	c, server := newFakeControl(t, Options{})
	targets := []*blockingTarget{newBlockingTarget(t, "a"), newBlockingTarget(t, "b")}
	// A slow revoke at one side leaves time for a premature grant at the other to show.
	targets[0].delay.Store(int64(30 * time.Millisecond))
	for _, b := range targets {
		post(t, server, api.PathAnnounce, b.announcement())
	}
	var running [2]atomic.Int64
	var entered, overlaps atomic.Int64
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for w := range 8 {
		workers.Go(func() {
			for i := w % 2; ; i = 1 - i {
				select {
				case <-stop:
					return
				default:
				}
				owner := c.view.Load().Owner(ref0())
				_, end, err := c.r.Lookup(targets[i].id).Begin(t.Context(), ref0(), owner.Epoch, "")
				if err != nil {
					continue
				}
				running[i].Add(1)
				entered.Add(1)
				if running[1-i].Load() > 0 || targets[1-i].grants.Check(0, owner.Epoch-1) == nil {
					overlaps.Add(1)
				}
				time.Sleep(time.Millisecond)
				running[i].Add(-1)
				end()
			}
		})
	}
	epoch := api.Epoch(10)
	for i := range 20 {
		id := targets[i%2].id
		before := entered.Load()
		c.assign(api.Granted, id, epoch)
		eventually(t, "work at the new owner", func() bool { return entered.Load() > before })
		c.assign(api.Releasing, id, epoch)
		eventually(t, "release", func() bool { return c.released(epoch) })
		epoch++
	}
	close(stop)
	workers.Wait()
	is.New(t).Equal(overlaps.Load(), int64(0))
}
