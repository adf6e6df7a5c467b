package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// testMachine applies commands with increasing log indexes.
type testMachine struct {
	*Machine
	t     *testing.T
	index uint64
}

func (m *testMachine) apply(c *Command) any {
	data, err := c.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	m.index++
	return m.Apply(m.index, data)
}

func (m *testMachine) change(c api.Change) *api.ChangeResult {
	if c.ID == "" {
		c.ID = fmt.Sprint("change-", m.index)
	}
	if c.BaseVersion == 0 {
		c.BaseVersion = m.View().Configuration.Version
	}
	return m.apply(&Command{Kind: ConfigChange, Change: &c}).(*api.ChangeResult)
}

func (m *testMachine) batch(b Batch) any { return m.apply(&Command{Kind: GrantBatch, Batch: &b}) }

func services(partitions int, names ...string) *api.Services {
	s := &api.Services{}
	for _, name := range names {
		s.Services = append(s.Services, api.Service{Name: name, Key: &api.KeySource{Header: "Key"}, Partitions: partitions})
	}
	return s
}

func newTestMachine(t *testing.T) *testMachine {
	m := &testMachine{Machine: New(), t: t}
	m.change(api.Change{Kind: api.ApplyServices, Services: services(4, "quotes")})
	return m
}

func step(partition int, expected api.Epoch) Step {
	return Step{PartitionRef: api.PartitionRef{Service: "quotes", Partition: partition}, Expected: expected}
}

func kind(result *api.ChangeResult) errkind.Kind {
	if result.Error == nil {
		return ""
	}
	return result.Error.Kind
}

// Guards against two accepted changes of one base version, and a resend that is applied twice or gets
// another result, also after a snapshot and after eviction of old results.
func TestConflictAndResend(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	base := m.View().Configuration.Version
	first := api.Change{ID: "a", BaseVersion: base, Kind: api.ZoneOut, Name: "z1"}
	second := api.Change{ID: "b", BaseVersion: base, Kind: api.ZoneOut, Name: "z2"}
	won := m.change(first)
	is.Equal(kind(won), errkind.Kind(""))
	lost := m.change(second)
	is.Equal(kind(lost), errkind.Conflict)
	is.Equal(lost.Version, won.Version)
	data, err := m.Snapshot()
	is.NoErr(err)
	is.NoErr(m.Restore(data))
	is.Equal(m.change(first), won)
	is.Equal(kind(m.change(second)), errkind.Conflict)
	is.Equal(m.View().Configuration.ZonesOut, []string{"z1"})
	for i := range maxResults {
		m.change(api.Change{ID: fmt.Sprint(i), Kind: api.ZoneOut, Name: "z1"})
	}
	is.Equal(len(m.results.byID), maxResults)
	is.Equal(kind(m.change(first)), errkind.Conflict) // evicted, and its base is old
}

// Guards against steps queued by a stale leader: each must be rejected for another epoch, another state
// or a lower term, and leave the assignment unchanged.
func TestFencedSteps(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	epoch := m.View().Assignments["quotes"][0].Epoch
	grant := Grant{Step: step(0, epoch), Target: "t1", Session: "s1"}
	is.Equal(m.batch(Batch{Term: 2, Grants: []Grant{grant}}).(*BatchResult).Applied, 1)
	granted := m.View().Assignments["quotes"][0]
	is.Equal(granted, api.Assignment{State: api.Granted, Target: "t1", Session: "s1", Epoch: api.Epoch(m.index)})

	stale := Batch{Term: 2, Grants: []Grant{grant}, Revokes: []Step{step(0, epoch)}, Releases: []Step{step(0, epoch)}}
	is.Equal(len(m.batch(stale).(*BatchResult).Rejected), 3)
	again := Batch{Term: 2, Grants: []Grant{{Step: step(0, granted.Epoch), Target: "t2", Session: "s2"}}}
	is.Equal(len(m.batch(again).(*BatchResult).Rejected), 1) // already granted
	old := Batch{Term: 1, Releases: []Step{step(0, granted.Epoch)}}
	is.Equal(m.batch(old).(*errkind.Error).Kind, errkind.StaleEpoch)
	is.Equal(m.View().Assignments["quotes"][0], granted)

	move := Batch{Term: 2, Releases: []Step{step(0, granted.Epoch)}, Grants: again.Grants}
	is.Equal(m.batch(move).(*BatchResult).Applied, 2)
	is.Equal(m.View().Assignments["quotes"][0].Target, api.TargetID("t2"))
}

// Guards against adding a removed service again while its previous owners still serve it, and against a
// change of the number of partitions.
func TestRemovedServiceIsReleasedBeforeReuse(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	epoch := m.View().Assignments["quotes"][0].Epoch
	m.batch(Batch{Grants: []Grant{{Step: step(0, epoch), Target: "t1", Session: "s1"}}})
	granted := m.View().Assignments["quotes"][0].Epoch
	apply := func(s *api.Services) errkind.Kind {
		return kind(m.change(api.Change{Kind: api.ApplyServices, Services: s}))
	}
	is.Equal(apply(services(5, "quotes")), errkind.Invalid)
	is.Equal(apply(services(4, "quotes", "quotes")), errkind.Invalid)
	is.Equal(apply(services(4, "quotes", "orders")), errkind.Kind(""))
	is.Equal(apply(services(4, "orders")), errkind.Kind(""))
	is.Equal(apply(services(4, "orders", "quotes")), errkind.Conflict)
	m.batch(Batch{Releases: []Step{step(0, granted)}})
	added := services(4, "orders", "quotes")
	added.Services[1].Partitions = 5
	is.Equal(apply(added), errkind.Kind(""))
	is.Equal(len(m.View().Assignments["quotes"]), 5)
}

// Guards against an override whose first owner differs from the owner of the key's hash partition, and
// against more overrides than MaxOverrides.
func TestOverrides(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	base := m.View().Configuration.Version
	hash := api.PartitionOf("hot", 4)
	epoch := m.View().Assignments["quotes"][hash].Epoch
	m.batch(Batch{Grants: []Grant{{Step: step(hash, epoch), Target: "t1", Session: "s1"}}})
	m.batch(Batch{Overrides: []OverrideKey{{"quotes", "hot"}, {"quotes", "hot"}}})
	is.Equal(m.View().Assignments["quotes"][4], api.Assignment{State: api.Granted, Target: "t1", Session: "s1", Epoch: api.Epoch(m.index)})
	is.Equal(m.View().Configuration.Overrides, []api.Override{{Service: "quotes", Key: "hot", Partition: 4, Version: m.index}})
	is.Equal(m.View().Configuration.Version, m.index)
	// An override added by the leader must not make an operator's change of the version before it conflict.
	is.Equal(kind(m.change(api.Change{ID: "zone", BaseVersion: base, Kind: api.ZoneOut, Name: "z"})), errkind.Kind(""))
	is.Equal(kind(m.change(api.Change{ID: "late", BaseVersion: base, Kind: api.ZoneIn, Name: "z"})), errkind.Conflict)
	for i := range MaxOverrides {
		m.batch(Batch{Overrides: []OverrideKey{{"quotes", fmt.Sprint(i)}}})
	}
	is.Equal(len(m.View().Configuration.Overrides), MaxOverrides)
	is.Equal(kind(m.change(api.Change{Kind: api.AddOverride, Override: &api.Override{Service: "quotes", Key: "more"}})), errkind.Invalid)
}

func drawCommand(t *rapid.T) *Command {
	partition, epoch := rapid.IntRange(0, 5).Draw(t, "partition"), api.Epoch(rapid.IntRange(0, 40).Draw(t, "epoch"))
	name := rapid.SampledFrom([]string{"a", "b", "quotes"}).Draw(t, "name")
	c := &api.Change{ID: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")), BaseVersion: rapid.Uint64Range(0, 40).Draw(t, "base"), Name: name}
	change := &Command{Kind: ConfigChange, Change: c}
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0:
		c.Kind = rapid.SampledFrom([]api.ChangeKind{api.ZoneOut, api.ZoneIn, api.TargetOut, api.RemoveOrganisation}).Draw(t, "kind")
		return change
	case 1:
		c.Kind, c.Organisation = api.PutOrganisation, &api.Organisation{ID: api.OrganisationID(name), Rate: 1, Burst: 1}
		return change
	case 2:
		c.Kind, c.Services = api.ApplyServices, services(4, name)
		return change
	}
	b := &Batch{Term: rapid.Uint64Range(0, 2).Draw(t, "term"), Releases: []Step{step(partition, epoch)}, Revokes: []Step{step(partition, epoch)}}
	b.Grants = []Grant{{Step: step(partition, epoch), Target: "t", Session: "s"}}
	b.Overrides = []OverrideKey{{"quotes", name}}
	return &Command{Kind: GrantBatch, Batch: b}
}

// Guards against a member restored from a snapshot whose state differs from that of a member that
// applied every entry, and against changes to published views.
func TestDeterminismAndSnapshot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		one, two := newTestMachine(t), newTestMachine(t)
		cut := rapid.IntRange(0, 40).Draw(rt, "cut")
		for i := range 40 {
			if i == cut {
				data, err := one.Snapshot()
				is.NoErr(err)
				two.Machine = New()
				is.NoErr(two.Restore(data))
			}
			command := drawCommand(rt)
			view := one.View()
			before := fmt.Sprintf("%+v", *view)
			is.Equal(one.apply(command), two.apply(command))
			is.Equal(fmt.Sprintf("%+v", *view), before)
		}
		first, err := one.Snapshot()
		is.NoErr(err)
		second, err := two.Snapshot()
		is.NoErr(err)
		is.Equal(string(first), string(second))
	})
}

// Guards against a delta that misses changes that were dropped from the history.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	var h history
	for v := uint64(1); v <= 3*maxHistory; v++ {
		h.add(v, make([]api.PartitionRef, 3))
	}
	is.True(len(h.changes) <= maxHistory+3)
	is.Equal(len(h.changes)%3, 0) // versions are whole
	_, ok := h.since(1)
	is.True(!ok)
	refs, ok := h.since(3*maxHistory - 10)
	is.True(ok)
	is.Equal(len(refs), 30)
	refs, ok = h.since(h.completeSince)
	is.True(ok)
	is.Equal(len(refs), len(h.changes))
}

// Guards against a record of a place that a restart or a later, smaller figure changes.
func TestPlacesOutliveRestarts(t *testing.T) {
	is := is.New(t)
	m := New()
	apply := func(b *Batch) {
		data, err := EncodeBatch(b)
		is.NoErr(err)
		before := m.View()
		m.Apply(before.Index+1, data)
		is.True(len(before.Places) == 0 || before.Index < m.View().Index) // the former view is not changed
	}
	apply(&Batch{Departures: []api.Departure{{Place: "p", BeforeMs: 7}, {Place: "q", BeforeMs: 1}}})
	published := m.View().Places
	apply(&Batch{Departures: []api.Departure{{Place: "p", BeforeMs: 5}, {Place: "q", BeforeMs: 3}}})
	apply(&Batch{Forgets: []string{"q", "unknown"}})
	is.Equal(published, map[string]api.PlaceRecord{"p": {LeftBeforeMs: 7}, "q": {LeftBeforeMs: 1}})
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.View().Places, map[string]api.PlaceRecord{"p": {LeftBeforeMs: 7}})
}
