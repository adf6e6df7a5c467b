package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// rolloutMachine is a machine with the service quotes.
type rolloutMachine struct {
	*Machine
	t     *testing.T
	index uint64
}

func newRolloutMachine(t *testing.T) *rolloutMachine {
	m := &rolloutMachine{Machine: New(), t: t}
	m.change(&api.Change{Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{{Name: "quotes"}, {Name: "other"}}}})
	return m
}

func (m *rolloutMachine) change(c *api.Change) *api.ChangeResult {
	m.t.Helper()
	m.index++
	c.ID, c.BaseVersion = fmt.Sprint("c", m.index), m.View().Configuration.Version
	data, err := EncodeChange(c)
	if err != nil {
		m.t.Fatal(err)
	}
	return m.Apply(m.index, data).(*api.ChangeResult)
}

func (m *rolloutMachine) order(service, version string, ms int64) *api.ChangeResult {
	return m.change(&api.Change{Kind: api.StartRollout, Rollout: &api.RolloutOrder{Service: service, Version: version, DurationMs: ms}})
}

func (m *rolloutMachine) step(s RolloutStep) *BatchResult {
	m.t.Helper()
	m.index++
	r := m.View().Configuration.FindRollout("quotes")
	s.ID, s.Service, s.Expected = r.ID, "quotes", r.Phase
	data, err := EncodeBatch(&Batch{Term: 1, Rollouts: []RolloutStep{s}})
	if err != nil {
		m.t.Fatal(err)
	}
	return m.Apply(m.index, data).(*BatchResult)
}

func (m *rolloutMachine) end(phase api.RolloutPhase) {
	m.step(RolloutStep{Change: &RolloutChange{Phase: phase, Retired: []string{"v1"}}})
}

// Guards against an order that is accepted without a service, version or duration, against one that ends another, and
// against a resend that is refused or starts the roll-out again.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	m := newRolloutMachine(t)
	before := m.View().Configuration
	for _, o := range []*api.RolloutOrder{
		nil, {Service: "nobody", Version: "v2", DurationMs: 1}, {Service: "quotes", DurationMs: 1},
		{Service: "quotes", Version: "v2"}, {Service: "quotes", Version: "v2", DurationMs: -1},
	} {
		is.Equal(m.change(&api.Change{Kind: api.StartRollout, Rollout: o}).Error.Kind, errkind.Invalid)
	}
	is.Equal(m.View().Configuration, before)
	is.Equal(m.order("quotes", "v2", 12000).Error, nil)
	first := *m.View().Configuration.FindRollout("quotes")
	is.Equal(first.Phase, api.RolloutStarting)
	version := m.View().Configuration.Version

	is.Equal(m.order("quotes", "v2", 12000).Error, nil)
	is.Equal(m.order("quotes", "v3", 12000).Error.Kind, errkind.Conflict)
	is.Equal(m.order("quotes", "v2", 13000).Error.Kind, errkind.Conflict)
	is.Equal(*m.View().Configuration.FindRollout("quotes"), first)
	is.Equal(m.View().Configuration.Version, version)
	is.Equal(m.order("other", "v3", 12000).Error, nil)
	is.Equal(len(m.View().Configuration.Rollouts), 2)

	m.end(api.RolloutRolledBack)
	is.Equal(m.order("quotes", "v2", 12000).Error, nil) // may still be a resend
	is.Equal(m.View().Configuration.FindRollout("quotes").Phase, api.RolloutRolledBack)
	m.step(RolloutStep{Forget: true})
	is.Equal(m.order("quotes", "v2", 12000).Error, nil)
	second := m.View().Configuration.FindRollout("quotes")
	is.Equal(second.Phase, api.RolloutStarting)
	is.True(second.ID != first.ID)
	is.Equal(len(m.View().RolloutElapsed), 2)

	m.end(api.RolloutRolledBack)
	is.Equal(m.order("quotes", "v3", 12000).Error, nil)
	third := m.View().Configuration.FindRollout("quotes")
	is.Equal(third.Retired, []string{"v2"}) // its targets may still drain
	is.True(!third.Admits("t", "v2"))
	m.end(api.RolloutCompleted)
	is.Equal(m.order("quotes", "v3", 13000).Error, nil)
	is.Equal(m.View().Configuration.FindRollout("quotes").Phase, api.RolloutCompleted)
}

// Guards against elapsed time that is sent to every node each second, that goes back, or that a snapshot loses, and
// against a phase change that nodes do not learn.
func TestRolloutSteps(t *testing.T) {
	is := is.New(t)
	m := newRolloutMachine(t)
	m.order("quotes", "v2", 12000)
	before := m.View().Configuration.Version
	id := m.View().Configuration.FindRollout("quotes").ID
	m.step(RolloutStep{ElapsedMs: 3000})
	m.step(RolloutStep{ElapsedMs: 2000})
	is.Equal(m.View().RolloutElapsed[id], int64(3000))
	is.Equal(m.View().Configuration.Version, before)
	old := m.View()
	m.step(RolloutStep{ElapsedMs: 4000, Change: &RolloutChange{Phase: api.RolloutCanary, Share: 0.04, Canary: []api.TargetID{"a", "b"}}})
	is.Equal(m.View().Configuration.Version, m.index)
	is.Equal(old.Configuration.FindRollout("quotes").Phase, api.RolloutStarting) // published views stay
	is.Equal(old.RolloutElapsed[id], int64(3000))

	packed, err := api.PackConfiguration(m.View().Configuration)
	is.NoErr(err)
	held, hash, err := packed.Unpack(nil, 0)
	is.NoErr(err)
	is.Equal(held.Rollouts, m.View().Configuration.Rollouts)
	packed, err = api.PackWithoutAccess(m.View().Configuration, hash)
	is.NoErr(err)
	held, _, err = packed.Unpack(held, hash)
	is.NoErr(err)
	is.Equal(held.Rollouts, m.View().Configuration.Rollouts)

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New()
	is.NoErr(restored.Restore(data))
	is.Equal(restored.View().Configuration.Rollouts, m.View().Configuration.Rollouts)
	is.Equal(restored.View().RolloutElapsed, map[string]int64{id: 4000})

	m.index++
	stale, err := EncodeBatch(&Batch{Term: 1, Rollouts: []RolloutStep{{ID: id, Service: "quotes", Expected: api.RolloutStarting, Change: &RolloutChange{Phase: api.RolloutCanary}}}})
	is.NoErr(err)
	is.Equal(m.Apply(m.index, stale).(*BatchResult).Rejected[0].Error.Kind, errkind.Conflict)
	m.end(api.RolloutCompleted)
	is.Equal(m.View().Configuration.FindRollout("quotes").Retired, []string{"v1"})
	m.end(api.RolloutRolledBack)
	is.Equal(m.View().Configuration.FindRollout("quotes").Phase, api.RolloutCompleted) // final
}

// Guards against a configuration that ends or loses the roll-outs of services that it keeps, and against roll-outs that
// outlive their service.
func TestRolloutsOutliveConfigurations(t *testing.T) {
	is := is.New(t)
	m := newRolloutMachine(t)
	m.order("quotes", "v2", 12000)
	m.order("other", "v2", 12000)
	quotes := *m.View().Configuration.FindRollout("quotes")
	is.Equal(m.change(&api.Change{Kind: api.Replace, Replacement: &api.Replacement{Label: 1,
		Services: api.Services{Services: []api.Service{{Name: "quotes"}, {Name: "other"}}}}}).Error, nil)
	is.Equal(len(m.View().Configuration.Rollouts), 2)
	is.Equal(m.change(&api.Change{Kind: api.ApplyServices, Services: &api.Services{Services: []api.Service{{Name: "quotes"}}}}).Error, nil)
	is.Equal(m.View().Configuration.Rollouts, []api.Rollout{quotes})
	is.Equal(m.View().RolloutElapsed, map[string]int64{quotes.ID: 0})
}

// Guards against a configuration that grows with each roll-out that is rolled back.
func TestRetiredVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	m := newRolloutMachine(t)
	for i := range 3 * maxRetired {
		is.Equal(m.order("quotes", fmt.Sprint("v", i), 12000).Error, nil)
		m.end(api.RolloutRolledBack)
	}
	is.Equal(m.order("quotes", "good", 12000).Error, nil)
	r := m.View().Configuration.FindRollout("quotes")
	is.Equal(len(r.Retired), maxRetired)
	is.True(!r.Admits("t", fmt.Sprint("v", 3*maxRetired-1)))
}
