package state

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// replacement returns a change that replaces the configuration labelled base.
func replacement(base, label uint64, names ...string) api.Change {
	return api.Change{
		Kind:        api.Replace,
		Replacement: &api.Replacement{BaseLabel: base, Label: label, Services: *services(4, names...), Document: []byte{byte(label)}},
	}
}

// Guards against two replacements of one base that are both applied, a label that does not increase, and
// an accepted change that is rejected when it is resent.
func TestReplaceChecksBaseAndLabel(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	first := replacement(0, 5, "quotes")
	first.ID = "first"
	is.Equal(kind(m.change(first)), errkind.Kind(""))
	is.Equal(kind(m.change(replacement(0, 7, "quotes"))), errkind.Conflict)
	is.Equal(kind(m.change(replacement(5, 5, "quotes"))), errkind.Invalid)
	is.Equal(kind(m.change(replacement(5, 7, "quotes", "quotes"))), errkind.Invalid)
	is.Equal(m.View().Configuration.Label, uint64(5))
	is.Equal(kind(m.change(replacement(5, 9, "quotes", "orders"))), errkind.Kind(""))
	is.Equal(kind(m.change(first)), errkind.Kind("")) // a resend of the accepted change
	is.Equal(m.View().Configuration.Label, uint64(9))
	is.Equal(m.View().Configuration.Document, []byte{9})
}

// Guards against keys that change their partition because a later configuration was sized for a
// different number of targets.
func TestReplaceKeepsTheNumberOfRanges(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	ranged := func(base, label uint64, partitions int) api.Change {
		c := replacement(base, label, "quotes")
		c.Replacement.Services.Services[0].Key = &api.KeySource{Header: "K", Span: 400}
		c.Replacement.Services.Services[0].Partitions = partitions
		return c
	}
	is.Equal(kind(m.change(ranged(0, 1, 16))), errkind.Kind(""))
	for label, partitions := range []int{0, 32, 8} {
		is.Equal(kind(m.change(ranged(uint64(label+1), uint64(label+2), partitions))), errkind.Kind(""))
		is.Equal(m.View().Configuration.Services.Find("quotes").Partitions, 16)
		is.Equal(len(m.View().Assignments["quotes"]), 16)
	}
}

// Guards against storing a rejection as the result of a change whose base becomes current later.
func TestRejectedReplaceCanBeResent(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	early := replacement(5, 7, "quotes")
	early.ID = "early"
	is.Equal(kind(m.change(early)), errkind.Conflict)
	is.Equal(kind(m.change(replacement(0, 5, "quotes"))), errkind.Kind(""))
	is.Equal(kind(m.change(early)), errkind.Kind(""))
}

// Guards against a service that is added again while it is being released and is rejected or loses its
// owners.
func TestReplaceReclaimsAssignments(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	m.change(replacement(0, 1, "quotes"))
	epoch := m.View().Assignments["quotes"][0].Epoch
	m.batch(Batch{Grants: []Grant{{Step: step(0, epoch), Target: "t1", Session: "s1"}}})
	m.change(replacement(1, 2, "orders"))
	is.Equal(kind(m.change(replacement(2, 3, "orders", "quotes"))), errkind.Kind(""))
	is.Equal(m.View().Assignments["quotes"][0].Target, api.TargetID("t1"))
}

// Guards against rejecting an unconditional evacuation that is already in effect, or the end of one when
// there is none.
func TestUnconditionalZoneChangesAreIdempotent(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	for _, k := range []api.ChangeKind{api.ZoneOut, api.ZoneOut, api.ZoneIn, api.ZoneIn} {
		c := api.Change{Kind: k, Name: "a", Unconditional: true, BaseVersion: 1 << 40}
		is.Equal(kind(m.change(c)), errkind.Kind(""))
	}
	is.Equal(len(m.View().Configuration.ZonesOut), 0)
}

// Guards against a handover token that does not reach the next owner, and against a rebind that changes
// the epoch or the target.
func TestHandoverAndRebind(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	epoch := m.View().Assignments["quotes"][0].Epoch
	m.batch(Batch{Grants: []Grant{{Step: step(0, epoch), Target: "t1", Session: "s1", Place: "h/a"}}})
	granted := m.View().Assignments["quotes"][0]
	rebind := Grant{Step: step(0, granted.Epoch), Target: "t1", Session: "s2"}
	is.Equal(m.batch(Batch{Rebinds: []Grant{rebind}}).(*BatchResult).Applied, 1)
	want := granted
	want.Session = "s2"
	is.Equal(m.View().Assignments["quotes"][0], want)
	rebind.Target = "t2"
	is.Equal(len(m.batch(Batch{Rebinds: []Grant{rebind}}).(*BatchResult).Rejected), 1)

	release := step(0, granted.Epoch)
	release.Handover = "token"
	m.batch(Batch{Releases: []Step{release}})
	m.batch(Batch{Grants: []Grant{{Step: step(0, granted.Epoch), Target: "t2", Session: "s3"}}})
	is.Equal(m.View().Assignments["quotes"][0].Handover, "token")
}

// Guards against an override in a range-partitioned service: its partition would lie outside all ranges,
// so no target would own it and requests for its key would find no owner.
func TestRangedServiceHasNoOverrides(t *testing.T) {
	is := is.New(t)
	m := &testMachine{Machine: New(), t: t}
	c := replacement(0, 1, "quotes")
	c.Replacement.Services.Services[0].Key.Span = 400
	is.Equal(kind(m.change(c)), errkind.Kind(""))
	result := m.batch(Batch{Overrides: []OverrideKey{{"quotes", "7"}}}).(*BatchResult)
	is.Equal(len(result.Rejected), 1)
	is.Equal(len(m.View().Assignments["quotes"]), 4)
}
