package state

import (
	"math"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// applyChange applies an operator's change, or returns the first result of a change with the same id.
func (m *Machine) applyChange(next *api.ControlState, c *api.Change) *api.ChangeResult {
	if c.ID == "" {
		err := errkind.New(errkind.Invalid, "change without id")
		return &api.ChangeResult{Version: next.Configuration.Version, Error: err}
	}
	if c.Kind == api.StartRollout {
		return m.startRollout(next, c.Rollout)
	}
	if first, ok := m.results.byID[c.ID]; ok {
		return first
	}
	result := m.applyNewChange(next, c)
	if c.Kind == api.Replace && result.Error != nil {
		// The base label may become current later, so a resend must be evaluated again.
		return result
	}
	m.results.add(c.ID, result)
	return result
}

// applyNewChange checks the base version and applies the change. On an error the state is unchanged.
func (m *Machine) applyNewChange(next *api.ControlState, c *api.Change) *api.ChangeResult {
	current := next.Configuration.Version
	if !c.Unconditional && c.Kind != api.Replace && (c.BaseVersion < next.Configuration.OperatorVersion || c.BaseVersion > current) {
		err := errkind.New(errkind.Conflict, "based on version %d, current is %d", c.BaseVersion, current)
		return &api.ChangeResult{Version: current, Error: err}
	}
	changed := *next
	e := newEditor(&changed)
	if err := e.dispatch(c); err != nil {
		return &api.ChangeResult{Version: current, Error: err}
	}
	changed.Configuration.Version = changed.Index
	changed.Configuration.OperatorVersion = changed.Index
	*next = changed
	e.state = next
	m.recordMapChanges(e, e.pruneRemovedServices())
	return &api.ChangeResult{Version: next.Index}
}

// dispatch applies the change by its kind.
func (e *editor) dispatch(c *api.Change) *errkind.Error {
	cfg := &e.state.Configuration
	switch c.Kind {
	case api.ApplyServices:
		return e.applyServices(c.Services, false)
	case api.PutOrganisation:
		return putOrganisation(cfg, c.Organisation)
	case api.RemoveOrganisation:
		return removeOrganisation(cfg, api.OrganisationID(c.Name))
	case api.GrantKey:
		return grantKey(cfg, c.Key)
	case api.WithdrawKey:
		return removeItem(&cfg.Keys, "organisation key", c.Name, func(k api.OrganisationKey) bool { return k.ID == c.Name })
	case api.ZoneOut:
		return addName(&cfg.ZonesOut, "availability zone", c.Name)
	case api.ZoneIn:
		if c.Unconditional && !slices.Contains(cfg.ZonesOut, c.Name) {
			return nil
		}
		return removeItem(&cfg.ZonesOut, "availability zone out", c.Name, func(z string) bool { return z == c.Name })
	case api.TargetOut:
		return addName(&cfg.TargetsOut, "target", api.TargetID(c.Name))
	case api.TargetIn:
		id := api.TargetID(c.Name)
		return removeItem(&cfg.TargetsOut, "target out", c.Name, func(t api.TargetID) bool { return t == id })
	case api.Replace:
		return e.replace(c.Replacement)
	case api.AddOverride:
		return e.addOverride(c.Override)
	}
	return errkind.New(errkind.Invalid, "unknown kind of change %q", c.Kind)
}

// addName adds the name unless the list contains it.
func addName[T ~string](list *[]T, what string, name T) *errkind.Error {
	if name == "" {
		return errkind.New(errkind.Invalid, "%s without name", what)
	}
	if !slices.Contains(*list, name) {
		*list = append(slices.Clone(*list), name)
	}
	return nil
}

// removeItem removes the items that match, or returns NotFound if there are none.
func removeItem[T any](list *[]T, what, name string, match func(T) bool) *errkind.Error {
	if !slices.ContainsFunc(*list, match) {
		return errkind.New(errkind.NotFound, "no %s %q", what, name)
	}
	*list = slices.DeleteFunc(slices.Clone(*list), match)
	return nil
}

// findOrganisation returns the index of the organisation, or -1.
func findOrganisation(cfg *api.Configuration, id api.OrganisationID) int {
	return slices.IndexFunc(cfg.Organisations, func(o api.Organisation) bool { return o.ID == id })
}

// putOrganisation adds or replaces an organisation. A weight of 0 becomes 1.
func putOrganisation(cfg *api.Configuration, o *api.Organisation) *errkind.Error {
	if o == nil || o.ID == "" {
		return errkind.New(errkind.Invalid, "organisation without id")
	}
	if o.Limited() && (!positive(o.Rate) || !positive(o.Burst) || o.Burst < 1) {
		return errkind.New(errkind.Invalid, "organisation %q: rate must be above 0 and burst at least 1", o.ID)
	}
	added := *o
	if added.Weight == 0 {
		added.Weight = 1
	}
	if !positive(added.Weight) {
		return errkind.New(errkind.Invalid, "organisation %q: weight must be above 0", o.ID)
	}
	cfg.Organisations = slices.Clone(cfg.Organisations)
	if i := findOrganisation(cfg, o.ID); i >= 0 {
		cfg.Organisations[i] = added
		return nil
	}
	cfg.Organisations = append(cfg.Organisations, added)
	return nil
}

// positive reports whether v is finite and above 0.
func positive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// removeOrganisation removes the organisation and withdraws its keys.
func removeOrganisation(cfg *api.Configuration, id api.OrganisationID) *errkind.Error {
	err := removeItem(&cfg.Organisations, "organisation", string(id), func(o api.Organisation) bool { return o.ID == id })
	if err != nil {
		return err
	}
	cfg.Keys = slices.DeleteFunc(slices.Clone(cfg.Keys), func(k api.OrganisationKey) bool { return k.Organisation == id })
	return nil
}

// digestHexLength is the length of a SHA-256 digest in hex digits.
const digestHexLength = 64

// grantKey adds a key of an organisation. Its id and its digest must be new.
func grantKey(cfg *api.Configuration, k *api.OrganisationKey) *errkind.Error {
	if k == nil || k.ID == "" || len(k.Digest) != digestHexLength {
		return errkind.New(errkind.Invalid, "organisation key needs an id and a SHA-256 digest in hex")
	}
	if findOrganisation(cfg, k.Organisation) < 0 {
		return errkind.New(errkind.NotFound, "no organisation %q", k.Organisation)
	}
	for _, have := range cfg.Keys {
		if have.ID == k.ID || have.Digest == k.Digest {
			return errkind.New(errkind.Invalid, "organisation key %q exists, or another one has its digest", k.ID)
		}
	}
	cfg.Keys = append(slices.Clone(cfg.Keys), *k)
	return nil
}

// addOverride applies an operator's override and records the new partition as changed.
func (e *editor) addOverride(o *api.Override) *errkind.Error {
	if o == nil || o.Key == "" {
		return errkind.New(errkind.Invalid, "override without key")
	}
	ref, err := e.createOverride(OverrideKey{Service: o.Service, Key: o.Key})
	if err == nil {
		e.changed = append(e.changed, ref)
	}
	return err
}
