package host

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a target that has left and is in use again: its node has restarted and does not know it when it says
// that it leaves, and an earlier announcement of it arrives later.
func TestLateAnnouncementAfterDepartureToRestartedNode(t *testing.T) {
	is := is.New(t)
	w := newPullWorldWith(t, Options{DrainAdmitLimit: 50 * time.Millisecond})
	w.own(api.Granted, 5)
	w.c.r.InstanceLeaves(w.a.Instance, w.a.Address)
	is.Equal(len(w.c.r.Targets()), 0)
	departures := w.c.r.Departures()
	is.Equal(len(departures), 1)
	is.Equal(departures[0].Place, "h1/"+w.a.Address)
	is.True(departures[0].BeforeMs > w.a.StartedMs)
	time.Sleep(60 * time.Millisecond)

	w.pull(api.Pull{})
	reports := w.c.r.Targets()
	is.Equal(len(reports), 1)
	is.Equal(reports[0].State, api.TargetDraining)
	is.Equal(reports[0].Announced, uint64(api.FinalAnnouncement))
	_, _, err := w.c.r.Lookup(w.a.ID).Begin(t.Context(), api.PartitionRef{Service: testService}, 5, "1")
	is.Equal(errkind.Of(err), errkind.WrongOwner) // counted from the departure, not from the announcement
	w.pull(api.Pull{})
	is.Equal(w.c.r.Targets()[0].State, api.TargetDraining)

	// The next life of the same name is a new target.
	w.a.ID, w.a.StartedMs, w.at = "i-1@next", time.Now().Add(time.Second).UnixMilli(), 0
	w.pull(api.Pull{})
	is.Equal(w.c.r.Lookup(w.a.ID).lastAnnouncement(), w.at)
}

// Guards against the next life of a target that counts as the one that has left because the time of day has jumped ahead.
func TestDepartureOfAKnownTargetNeedsNoClock(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.a.ID, w.a.StartedMs = "i-1@1", time.Now().Add(-time.Hour).UnixMilli()
	w.pull(api.Pull{})
	w.c.r.InstanceLeaves(w.a.Instance, w.a.Address)
	is.Equal(w.c.r.Departures()[0].BeforeMs, w.a.StartedMs+1)
	w.a.ID, w.a.StartedMs, w.at = "i-1@2", w.a.StartedMs+1, 0
	w.pull(api.Pull{})
	is.Equal(w.c.r.Lookup(w.a.ID).lastAnnouncement(), w.at)
}

// Guards against a target that is added after it has left: those that announce themselves to the product's own interface.
func TestUnknownTargetThatLeavesIsNotAddedLater(t *testing.T) {
	is := is.New(t)
	c, _ := newFakeControl(t, Options{})
	send := func(path string) int {
		body, _ := json.Marshal(api.Announcement{ID: "t9", Service: testService, Address: "127.0.0.1:9", Slots: 1})
		w := httptest.NewRecorder()
		c.r.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
		return w.Code
	}
	is.Equal(send(api.PathLeave), http.StatusOK)
	is.Equal(send(api.PathAnnounce), http.StatusConflict)
	is.Equal(len(c.r.Targets()), 0)
}

// Guards against an end that is acknowledged before the control group has committed it (DRAIN): a restart of the node and the leader
// would forget it.
func TestDepartureIsKeptOnceItIsCommitted(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.pull(api.Pull{})
	ended := func(kept <-chan struct{}) bool {
		select {
		case <-kept:
			return true
		default:
			return false
		}
	}
	kept := w.c.r.InstanceLeaves(w.a.Instance, w.a.Address)
	is.True(!ended(kept))
	w.c.r.ApplyDepartures([]api.Departure{{Place: "h1/" + w.a.Address, BeforeMs: 5}}) // an earlier one
	is.True(!ended(kept))
	w.c.r.ApplyDepartures(w.c.r.Departures())
	is.True(ended(kept))
	w.c.r.ApplyDepartures(w.c.r.Departures())
	is.True(ended(w.c.r.InstanceLeaves(w.a.Instance, w.a.Address))) // sent again
}

// Guards against requests of nodes with an old map that reach a target after its end was acknowledged (DRAIN): its node has restarted,
// takes a late announcement for the state of the target, and hears from the leader that it has left.
func TestTargetThatHasLeftGetsNothingAfterALateAnnouncement(t *testing.T) {
	is := is.New(t)
	w := newPullWorldWith(t, Options{DrainAdmitLimit: time.Minute})
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	target := w.c.r.Lookup(w.a.ID)
	begin := func() errkind.Kind {
		_, done, err := target.Begin(t.Context(), ref0(), 5, "")
		if err == nil {
			done()
			return ""
		}
		return errkind.Of(err)
	}
	place := "h1/" + w.a.Address
	w.c.r.ApplyDepartures([]api.Departure{{Place: place, BeforeMs: w.a.StartedMs}, {Place: "h1/other", BeforeMs: w.a.StartedMs + 1}})
	is.Equal(begin(), errkind.Kind("")) // others have left
	w.c.r.ApplyDepartures([]api.Departure{{Place: place, BeforeMs: w.a.StartedMs + 1}})
	is.Equal(begin(), errkind.WrongOwner)
	w.pull(api.Pull{})
	is.Equal(begin(), errkind.WrongOwner)
	is.Equal(w.c.r.Targets()[0].Announced, uint64(api.FinalAnnouncement))
}

// coldGate records how long the gate was told that its target is cold.
type coldGate struct {
	fakeGate
	cold *time.Duration
}

func (g coldGate) SetColdRate(d time.Duration, _ float64) { *g.cold = d }

// Guards against a cold target that gets the requests of a warm one (FAILBACK): it and its node are back after a loss of power, and the
// first announcement that the node gets is a late one from before.
func TestFirstAnnouncementToANewProcessCountsAsCold(t *testing.T) {
	is := is.New(t)
	const interval = 300 * time.Millisecond
	var cold time.Duration
	w := newPullWorldWith(t, Options{HeartbeatInterval: interval})
	w.c.r.o.NewGate = func(api.Announcement) Gate { return coldGate{cold: &cold} }
	w.pull(api.Pull{})
	is.Equal(cold, unconfirmedIntervals*interval)
	w.pull(api.Pull{})
	is.Equal(cold, time.Duration(0)) // confirmed

	w.a.ID, w.a.StartedMs, w.at = "i-1@200", 200, 0 // the next life states that it is cold
	w.pull(api.Pull{ColdFor: 5 * time.Second})
	is.Equal(cold, 5*time.Second)

	w.c.r.started = time.Now().Add(-2 * lateAnnouncement) // known to a process that runs for long, the order of lives suffices
	w.a.ID, w.a.StartedMs, w.at = "i-1@300", 300, 0
	w.pull(api.Pull{})
	is.Equal(cold, time.Duration(0))
}
