package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// Guards against a node whose configuration differs from the leader's after splits that were sent without
// the rest, and against a whole configuration for each split.
func TestSplitsAreSentAlone(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 7, 128)
	first := w.machine.View().Configuration
	w.updateConfiguration(w.machine.View(), w.now)
	held := []*api.Configuration{&first}
	for i := range 6 {
		w.load(1, 100, w.service().Range(11*i))
		w.step(t)
		w.step(t)
		c := w.machine.View().Configuration
		held = append(held, &c)
	}
	view := w.machine.View()
	w.updateConfiguration(view, w.now)
	is.True(len(w.service().Splits) >= 3)
	for _, c := range held[:len(held)-1] {
		var r api.HeartbeatReply
		w.fillConfiguration(&r, view, &session{last: api.HeartbeatRequest{ConfigVersion: c.Version}})
		is.Equal(len(r.Configuration), 0)
		is.Equal(r.SplitsBase, c.Version)
		is.Equal(*c.WithSplits(view.Configuration.Version, r.Splits), view.Configuration)
	}
}

// Guards against a node that keeps an old rate, route or zone because a split hid the change.
func TestOtherChangesAreSentWhole(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 7, 128)
	before := w.machine.View().Configuration.Version
	w.updateConfiguration(w.machine.View(), w.now)
	w.load(1, 100, w.service().Range(5))
	w.step(t)
	w.apply(t, func() ([]byte, error) {
		return state.EncodeChange(&api.Change{ID: "out", BaseVersion: w.machine.View().Configuration.OperatorVersion, Kind: api.ZoneOut, Name: "a"})
	})
	changed := w.machine.View().Configuration.Version
	w.updateConfiguration(w.machine.View(), w.now)
	w.load(1, 100, w.service().Range(50))
	w.step(t)
	w.step(t)
	view := w.machine.View()
	w.updateConfiguration(view, w.now)
	is.True(view.Configuration.Version > changed)
	for _, version := range []uint64{0, before, view.Configuration.Version + 1} {
		_, ok := w.splits.since(version)
		is.True(!ok)
	}
	splits, ok := w.splits.since(changed)
	is.True(ok)
	is.Equal(len(splits), len(w.service().Splits)-1)
}
