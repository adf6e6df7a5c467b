package state

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// replace replaces services, organisations and organisation keys as a whole. Zones and targets that
// operators took out of service stay out.
func (e *editor) replace(r *api.Replacement) *errkind.Error {
	cfg := &e.state.Configuration
	if r == nil {
		return errkind.New(errkind.Invalid, "no configuration")
	}
	if r.BaseLabel != cfg.Label {
		return errkind.New(errkind.Conflict, "based on configuration %d, current is %d", r.BaseLabel, cfg.Label)
	}
	if r.Label <= cfg.Label {
		return errkind.New(errkind.Invalid, "configuration %d is not above the current %d", r.Label, cfg.Label)
	}
	if err := e.applyServices(&r.Services, true); err != nil {
		return err
	}
	cfg.Organisations, cfg.Keys = nil, nil
	for i := range r.Organisations {
		if err := putOrganisation(cfg, &r.Organisations[i]); err != nil {
			return err
		}
	}
	for i := range r.Keys {
		if err := grantKey(cfg, &r.Keys[i]); err != nil {
			return err
		}
	}
	cfg.Label, cfg.Document = r.Label, r.Document
	return nil
}
