package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// splitCluster is a leader without a control loop, with targets that pull key ranges of one service.
type splitCluster struct {
	*leader
	machine *state.Machine
	index   uint64
	now     time.Time
	loads   map[string]map[int]float64 // by target
}

func newSplitCluster(t *testing.T, targets, partitions int) *splitCluster {
	t.Helper()
	w := newUnplannedCluster(t, targets, partitions)
	for range 1 + partitions/maxBatchSteps {
		w.step(t)
	}
	return w
}

// newUnplannedCluster returns a splitCluster in which nothing is assigned yet.
func newUnplannedCluster(t *testing.T, targets, partitions int) *splitCluster {
	t.Helper()
	w := &splitCluster{machine: state.New(), now: time.Now(), loads: map[string]map[int]float64{}}
	o := Options{Log: newFakeLog(), Machine: w.machine}
	if err := o.setDefaults(); err != nil {
		t.Fatal(err)
	}
	w.leader = newLeader(&o, logrus.NewEntry(logrus.New()), 1, w.now)
	w.apply(t, func() ([]byte, error) {
		return state.EncodeChange(&api.Change{ID: "first", Kind: api.Replace, Replacement: &api.Replacement{Label: 1, Services: api.Services{
			Services: []api.Service{{Name: "quotes", Key: &api.KeySource{Header: "K", Span: 65536}, Partitions: partitions}}}}})
	})
	for i := range targets {
		name := fmt.Sprint("t", i)
		w.loads[name] = map[int]float64{}
		w.sessions[api.SessionID(name)] = &session{deadline: w.now.Add(time.Hour), last: api.HeartbeatRequest{Targets: []api.TargetReport{{
			ID: api.TargetID(name), Service: "quotes", Slots: 18, State: api.TargetServing, Place: "host-" + name, PartitionLoad: w.loads[name],
		}}}}
	}
	return w
}

func (w *splitCluster) apply(t *testing.T, encode func() ([]byte, error)) {
	t.Helper()
	data, err := encode()
	if err != nil {
		t.Fatal(err)
	}
	w.index++
	switch r := w.machine.Apply(w.index, data).(type) {
	case *api.ChangeResult:
		if r.Error != nil {
			t.Fatal(r.Error)
		}
	case *state.BatchResult:
		if len(r.Rejected) > 0 {
			t.Fatal(r.Rejected[0].Error)
		}
	}
}

// step plans and commits a batch; revoked partitions are released before the next step.
func (w *splitCluster) step(t *testing.T) *state.Batch {
	t.Helper()
	w.now = w.now.Add(100 * time.Millisecond)
	batch := w.plan(w.machine.View(), w.now)
	w.apply(t, func() ([]byte, error) { return state.EncodeBatch(batch) })
	for _, s := range batch.Revokes {
		a := assignment(w.machine.View(), s.PartitionRef)
		w.released[s.PartitionRef] = api.Released{PartitionRef: s.PartitionRef, Epoch: a.Epoch, Handover: "token"}
	}
	return batch
}

func (w *splitCluster) service() *api.Service {
	return w.machine.View().Configuration.Services.Find("quotes")
}

// load sets the measured loads by the present owners: perPartition on each full partition, and hot spread
// over the range keys. It returns the greatest load of a target.
func (w *splitCluster) load(perPartition, hot float64, keys api.KeyRange) (most float64) {
	for _, loads := range w.loads {
		clear(loads)
	}
	sums := map[api.TargetID]float64{}
	s := w.service()
	s.InKeyOrder(func(p int) {
		r := s.Range(p)
		load := perPartition * float64(r.Len()) / 512
		if busy := min(r.Last, keys.Last) - max(r.First, keys.First) + 1; busy > 0 {
			load += hot * float64(busy) / float64(keys.Len())
		}
		owner := assignment(w.machine.View(), api.PartitionRef{Service: "quotes", Partition: p}).Target
		w.loads[string(owner)][p] = load
		sums[owner] += load
	})
	for _, sum := range sums {
		most = max(most, sum)
	}
	return most
}

// Guards against busy neighbouring keys that stay on one target while others have spare capacity.
func TestBusyPartitionIsSplitAndSpread(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 7, 128)
	hot := api.KeyRange{First: 1030, Last: 1230} // within one partition
	before := w.load(1, 100, hot)
	is.True(before > 100)
	for range 20 { // two seconds
		w.step(t)
		w.load(1, 100, hot)
	}
	mean := (128 + 100.0) / 7
	is.Equal(len(w.service().Splits), 1)
	is.True(w.load(1, 100, hot) < 1.6*mean)
	for range 100 {
		w.step(t)
		w.load(1, 100, hot)
	}
	is.Equal(len(w.service().Splits), 1) // parts are not split again
}

// Guards against parts that are more than one target can serve: in a large fleet, two hundred neighbouring
// keys get a third of the requests, and four of them exceed the share of a target.
func TestBusyKeysAreSplitToSingleKeys(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 230, 2048)
	const perPartition, hot = 14.0, 1000.0 // of 512 keys; 1,792 requests per second beside the hot ones
	keys := api.KeyRange{First: 20000, Last: 20199}
	before := w.load(perPartition, hot, keys)
	is.True(before > 150)
	for range 20 { // two seconds
		w.step(t)
		w.load(perPartition, hot, keys)
	}
	mean := (perPartition*128 + hot) / 230
	is.True(w.load(perPartition, hot, keys) < 1.6*mean)
}

// Guards against splits for chance variation of load, and against an unbounded number of parts.
func TestSplitsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newSplitCluster(t, 3, 128)
	for range 50 {
		w.load(10, 0, api.KeyRange{First: 0, Last: 0})
		w.step(t)
	}
	is.Equal(len(w.service().Splits), 0)
	for i := range 128 {
		w.load(1, 1000, w.service().Range(i))
		for range 3 {
			w.step(t)
		}
	}
	is.True(len(w.service().Splits) > 0)
	is.True(w.service().Count()-128 <= 3*maxPartsPerTarget)
}
