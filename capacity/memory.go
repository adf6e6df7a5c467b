package capacity

import (
	"context"
	"encoding/json"
	"runtime"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// machineWith returns a state machine that holds the configuration and a granted map, as
// restored from a snapshot.
func machineWith(c *api.Configuration, partitions int) (*state.Machine, error) {
	view := &api.ControlState{Index: 1_000_000, Configuration: *c, Assignments: api.Assignments{}}
	view.Configuration.Version = view.Index
	if partitions > 0 {
		view.Configuration.Services = *sampleServices(partitions)
		list := make([]api.Assignment, partitions)
		for i, u := range sampleUpdates(partitions) {
			list[i] = u.Assignment
		}
		view.Assignments[serviceName] = list
		view.MapVersion = view.Index
	}
	data, err := json.Marshal(struct {
		State *api.ControlState `json:"state"`
	}{view})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := state.New()
	return m, m.Restore(data)
}

// snapshots measures the snapshot of the state machine.
func snapshots(_ context.Context, z Sizes) ([]Slope, error) {
	byPartition, err := snapshotSlopes(z, "partitions", z.Partitions, func(n int) (*state.Machine, error) {
		return machineWith(&api.Configuration{}, n)
	})
	if err != nil {
		return nil, err
	}
	byKey, err := snapshotSlopes(z, "organisation keys", z.Entries, func(n int) (*state.Machine, error) {
		return machineWith(&api.Configuration{Keys: sampleKeys(n)}, 0)
	})
	return append(byPartition, byKey...), err
}

func snapshotSlopes(z Sizes, x string, sizes []int, build func(n int) (*state.Machine, error)) ([]Slope, error) {
	size := Slope{Name: "snapshot", X: x, Y: "bytes", Method: MethodSize}
	write := Slope{Name: "snapshot, encoding", X: x, Y: "us", Method: MethodLoop}
	read := Slope{Name: "snapshot, restoring", X: x, Y: "us", Method: MethodLoop}
	for _, n := range sizes {
		m, err := build(n)
		if err != nil {
			return nil, err
		}
		data, err := m.Snapshot()
		if err != nil {
			return nil, err
		}
		encoding, err := repeat(z.Loop, func() error { _, err := m.Snapshot(); return err })
		if err != nil {
			return nil, err
		}
		restoring, err := repeat(z.Loop, func() error { return state.New().Restore(data) })
		if err != nil {
			return nil, err
		}
		size.add(n, float64(len(data)))
		write.add(n, encoding.microseconds)
		read.add(n, restoring.microseconds)
	}
	return []Slope{size, write, read}, nil
}

// leaderMemory measures the state of a member after a restore. The memory of sessions is
// in the heartbeat runners.
func leaderMemory(_ context.Context, z Sizes) ([]Slope, error) {
	builds := []struct {
		x     string
		sizes []int
		build func(n int) (*state.Machine, error)
	}{
		{"partitions", z.Partitions, func(n int) (*state.Machine, error) { return machineWith(&api.Configuration{}, n) }},
		{"organisations", z.Entries, func(n int) (*state.Machine, error) {
			return machineWith(&api.Configuration{Organisations: sampleOrganisations(n)}, 0)
		}},
		{"organisation keys", z.Entries, func(n int) (*state.Machine, error) {
			return machineWith(&api.Configuration{Keys: sampleKeys(n)}, 0)
		}},
	}
	var list []Slope
	for _, b := range builds {
		s := Slope{Name: "state of a member", X: b.x, Y: "KB", Method: MethodHeap}
		for _, n := range b.sizes {
			var err error
			s.add(n, heapOf(func() (m *state.Machine) { m, err = b.build(n); return m })/1000)
			if err != nil {
				return nil, err
			}
		}
		list = append(list, s)
	}
	return list, nil
}

// nodeView measures the memory of a view as it comes from the wire, and the rebuild of its
// index, which follows each change of the configuration or of the peers.
func nodeView(_ context.Context, z Sizes) ([]Slope, error) {
	builds := []struct {
		x     string
		sizes []int
		reply func(n int) (*api.HeartbeatReply, error)
	}{
		{"partitions", z.Partitions, func(n int) (*api.HeartbeatReply, error) {
			return &api.HeartbeatReply{Map: api.AssignmentUpdates{List: sampleUpdates(n)}}, nil
		}},
		{"nodes", z.Peers, func(n int) (*api.HeartbeatReply, error) { return peersReply(n), nil }},
		{"organisation keys", z.Entries, func(n int) (*api.HeartbeatReply, error) {
			packed, err := api.PackConfiguration(api.Configuration{Keys: sampleKeys(n)})
			return &api.HeartbeatReply{Configuration: packed}, err
		}},
	}
	var list []Slope
	for _, b := range builds {
		memory := Slope{Name: "view of a node", X: b.x, Y: "KB", Method: MethodHeap}
		rebuild := Slope{Name: "rebuild of the view's index", X: b.x, Y: "us", Method: MethodLoop}
		for _, n := range b.sizes {
			reply, err := b.reply(n)
			if err != nil {
				return nil, err
			}
			view, bytes, err := decodedView(reply)
			if err != nil {
				return nil, err
			}
			each, err := repeat(z.Loop, func() error { view.Index = api.NewViewIndex(view); return nil })
			if err != nil {
				return nil, err
			}
			memory.add(n, bytes/1000)
			rebuild.add(n, each.microseconds)
		}
		list = append(list, memory, rebuild)
	}
	return list, nil
}

// decodedView returns the view of a node that received the reply, and its live bytes.
func decodedView(r *api.HeartbeatReply) (*api.View, float64, error) {
	w := newWire()
	if err := w.enc.Encode(r); err != nil {
		return nil, 0, errors.Trace(err)
	}
	data := w.buffer.Bytes()
	var err error
	var view *api.View
	bytes := heapOf(func() *api.View {
		view, err = viewFrom(data)
		return view
	})
	// The encoded bytes count before and after; freed in between they would be subtracted.
	runtime.KeepAlive(data)
	return view, bytes, err
}
