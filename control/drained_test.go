package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// reportTarget sends a heartbeat of a node process with one target, commits the leader's batch, and returns the
// state of the target that other nodes are sent.
func (w *restartCluster) reportTarget(session string, r api.TargetReport) api.TargetState {
	w.t.Helper()
	r.ID, r.Service, r.Place = "t1", "quotes", "host/10.0.0.1:80"
	for range 3 { // until the session is open
		w.now = w.now.Add(100 * time.Millisecond)
		_, _, _ = w.heartbeat(&api.HeartbeatRequest{
			Session: api.SessionID(session), Sequence: uint64(w.now.UnixNano()), Term: w.term, Name: "node", TokensFull: true,
			Targets: []api.TargetReport{r},
		}, w.now, w.now)
		w.commit(w.tick(w.now))
	}
	s := w.sessions[api.SessionID(session)]
	if s == nil || len(s.peer.Targets) != 1 {
		w.t.Fatal("the target is not known")
	}
	return s.peer.Targets[0].State
}

// Guards against a target that is used again after it has said that it drains: its node restarts, and an
// announcement that was delayed on its way reaches the new process first.
func TestDrainingTargetStaysSoAfterRestartOfItsNode(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	is.Equal(w.reportTarget("a", api.TargetReport{State: api.TargetServing, Announced: 4}), api.TargetServing)
	is.Equal(w.reportTarget("a", api.TargetReport{State: api.TargetDraining, Announced: 6}), api.TargetDraining)
	is.Equal(w.reportTarget("a", api.TargetReport{State: api.TargetLost, Announced: 6}), api.TargetLost)
	is.Equal(w.reportTarget("b", api.TargetReport{State: api.TargetServing, Announced: 5}), api.TargetDraining)
	is.Equal(w.reportTarget("b", api.TargetReport{State: api.TargetServing, Announced: 7}), api.TargetServing) // withdrawn
}

// Guards against the same for a target that has said that it stops for ever.
func TestTargetThatHasLeftStaysSoAfterRestartOfItsNode(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	is.Equal(w.reportTarget("a", api.TargetReport{State: api.TargetDraining, Announced: api.FinalAnnouncement}), api.TargetDraining)
	is.Equal(w.reportTarget("b", api.TargetReport{State: api.TargetServing, Announced: 50}), api.TargetDraining)
	w.now = w.now.Add(2 * drainedRetention)
	w.commit(w.tick(w.now))
	is.Equal(len(w.drained), 0)
}

// Guards against the same for a target that left while its node did not know it, and whose node restarts once more before
// a delayed announcement arrives.
func TestTargetThatLeftUnknownStaysSoAfterRestartOfItsNode(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	w.recordDepartures([]api.Departure{{Place: "host/10.0.0.1:80", BeforeMs: 100}}, w.now)
	is.Equal(w.reportTarget("b", api.TargetReport{State: api.TargetServing, Announced: 5, StartedMs: 90}), api.TargetDraining)
	is.Equal(w.reportTarget("b", api.TargetReport{State: api.TargetServing, Announced: 6, StartedMs: 90}), api.TargetDraining)
	is.Equal(w.reportTarget("c", api.TargetReport{State: api.TargetServing, Announced: 1, StartedMs: 110}), api.TargetDraining) // the id is that of the former
	w.now = w.now.Add(2 * drainedRetention)
	w.commit(w.tick(w.now))
	is.Equal(len(w.departed), 0)
}
