package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// serveRanged configures a service divided into ranges.
func (w *restartCluster) serveRanged(service string) {
	w.t.Helper()
	data, err := state.EncodeChange(&api.Change{ID: "services", Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{
		{Name: service, Key: &api.KeySource{Header: "K", Span: 65536}, Partitions: 8, Routes: []api.Route{{Prefix: "/"}}},
	}}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	w.machine.Apply(w.index, data)
}

// report sends heartbeats of a node process with its targets for a while and commits what the leader plans.
func (w *restartCluster) report(session string, departures []api.Departure, targets ...api.TargetReport) (reply *api.HeartbeatReply) {
	w.t.Helper()
	for range 12 {
		w.now = w.now.Add(100 * time.Millisecond)
		list := append([]api.TargetReport(nil), targets...)
		if r, _, err := w.heartbeat(&api.HeartbeatRequest{
			Session: api.SessionID(session), Sequence: uint64(w.now.UnixNano()), Term: w.term, Name: "node-" + session[:1], TokensFull: true,
			Targets: list, Departures: departures,
		}, w.now, w.now); err == nil {
			reply = r
		}
		w.commit(w.tick(w.now))
	}
	return reply
}

func pulling(id string, place string, startedMs int64) api.TargetReport {
	return api.TargetReport{ID: api.TargetID(id), Service: "quotes", Slots: 8, State: api.TargetServing, Place: place, StartedMs: startedMs, Announced: 3}
}

// ownedBy returns the partitions of the service by owner.
func (w *restartCluster) ownedBy() map[api.TargetID]int {
	owned := make(map[api.TargetID]int)
	for _, a := range w.machine.View().Assignments["quotes"] {
		if a.State != api.Unassigned {
			owned[a.Target]++
		}
	}
	return owned
}

// Guards against keys that are taken from a living target (OWNER): its node and all members restart, and a late announcement of the
// target before it at its address counts as the proof that it has ended.
func TestAnnouncementOfAFormerTargetTakesNoKeys(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	w.serveRanged("quotes")
	w.report("a1", nil, pulling("former@100", "host-a/1", 100))
	w.report("a1", nil, pulling("living@200", "host-a/1", 200))
	for range 3 {
		w.report("a1", nil, pulling("living@200", "host-a/1", 200))
		w.report("b1", nil, pulling("other@150", "host-b/1", 150))
	}
	held := w.ownedBy()["living@200"]
	is.True(held > 0 && w.ownedBy()["former@100"] == 0)

	w.newTerm()
	for range 2 {
		w.report("a2", nil, pulling("former@100", "host-a/1", 100))
		w.report("b1", nil, pulling("other@150", "host-b/1", 150))
	}
	is.Equal(w.ownedBy()["living@200"], held)
	is.Equal(w.ownedBy()["former@100"], 0)
	w.report("a2", nil, pulling("living@200", "host-a/1", 200))
	is.Equal(w.ownedBy()["living@200"], held)
	w.report("a2", nil, pulling("next@300", "host-a/1", 300)) // a later one is a proof
	is.Equal(w.ownedBy()["living@200"], 0)
}

// Guards against a target that is in use again after its end was acknowledged (DRAIN): its node and the leader restart, and a late
// announcement arrives.
func TestCommittedDepartureOutlivesNodeAndLeader(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	departure := []api.Departure{{Place: "host-a/1", BeforeMs: 101}}
	w.report("a1", nil, pulling("left@100", "host-a/1", 100))
	first, _, err := w.heartbeat(&api.HeartbeatRequest{Session: "a1", Sequence: uint64(w.now.UnixNano()) + 1, Term: w.term, Departures: departure}, w.now, w.now)
	is.True(err == nil)
	is.Equal(len(first.Departures), 0) // not committed yet
	is.Equal(w.report("a1", departure).Departures, departure)

	w.newTerm()
	w.report("a2", nil, pulling("left@100", "host-a/1", 100))
	is.Equal(w.sessions["a2"].peer.Targets[0].State, api.TargetDraining)
	w.report("a2", nil, pulling("next@101", "host-a/1", 101))
	is.Equal(w.sessions["a2"].peer.Targets[0].State, api.TargetServing)
}

// Guards against records of places that grow without end, and against a target that stays unusable after its clock went back.
func TestPlacesAreForgottenAfterTheirTargets(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	w.serveRanged("quotes")
	for i := range 20 {
		w.report("a1", []api.Departure{{Place: fmt.Sprint("gone/", i), BeforeMs: 5}}, pulling("t@100", "host-a/1", 100))
	}
	is.True(len(w.machine.View().Places) > 10)
	for began := w.now; w.now.Sub(began) < placeRetention+5*time.Second; {
		w.report("a1", nil, pulling("t@100", "host-a/1", 100))
	}
	is.Equal(w.machine.View().Places, map[string]api.PlaceRecord{"host-a/1": {StartedMs: 100}})
	for began := w.now; w.now.Sub(began) < placeRetention+5*time.Second; {
		w.report("a1", nil, pulling("t@50", "host-a/1", 50)) // its clock went back
	}
	is.Equal(w.sessions["a1"].peer.Targets[0].State, api.TargetServing)
}
