package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a slow target that is full and refuses requests while others have free slots: targets
// had the same load whatever their speed.
func TestSlowTargetsOwnLess(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 4, 128)
	speeds := map[string]int64{"t0": 250, "t1": 250, "t2": 500, "t3": 5000}
	for name, ms := range speeds {
		w.sessions[api.SessionID(name)].last.Targets[0].ServiceMs = ms
	}
	everything := api.KeyRange{First: 0, Last: 65535}
	for range 200 {
		w.load(2, 0, everything)
		w.step(t)
	}
	w.load(2, 0, everything)
	load := func(name string) (sum float64) {
		for _, l := range w.loads[name] {
			sum += l
		}
		return sum
	}
	is.True(load("t2") < 0.8*load("t0"))
	is.True(load("t3") < 0.8*load("t0"))
	is.True(load("t3") > 0.2*load("t0")) // a slow measurement alone must not empty a target
}

// Guards against moves caused by nearly equal service times that vary by chance.
func TestEqualSpeedsMoveNothing(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 4, 128)
	everything := api.KeyRange{First: 0, Last: 65535}
	w.load(2, 0, everything)
	for i := range 100 {
		for j, name := range []string{"t0", "t1", "t2", "t3"} {
			w.sessions[api.SessionID(name)].last.Targets[0].ServiceMs = 250 + int64((i+j)%4)*10
		}
		is.Equal(len(w.step(t).Revokes), 0)
	}
}

// Guards against a target that gets as many keys as its slots are worth although it runs half of them well, and against an odd
// figure that gives one target everything.
func TestLearnedCapacityTakesThePlaceOfSlots(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 4, 128)
	slots := w.sessions["t0"].last.Targets[0].Slots
	w.sessions["t2"].last.Targets[0].Capacity = float64(slots) / 2
	w.sessions["t3"].last.Targets[0].Capacity = 1000
	everything := api.KeyRange{First: 0, Last: 65535}
	for range 200 {
		w.load(2, 0, everything)
		w.step(t)
	}
	w.load(2, 0, everything)
	load := func(name string) (sum float64) {
		for _, l := range w.loads[name] {
			sum += l
		}
		return sum
	}
	is.True(load("t2") < 0.75*load("t0"))
	is.True(load("t2") > 0.3*load("t0"))
	is.True(load("t3") < 1.25*load("t0"))
}
