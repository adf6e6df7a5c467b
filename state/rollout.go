package state

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// maxRolloutDuration bounds the time until the deadline of a roll-out; it catches absurd values.
	maxRolloutDuration = 24 * time.Hour
	// maxVersionBytes bounds the name of a version, which every node is sent.
	maxVersionBytes = 256
	// maxRetired bounds the versions that a service remembers as retired; the latest are kept. Targets of older ones
	// have been stopped long before.
	maxRetired = 16
)

// RolloutStep changes a roll-out that is in the expected phase.
type RolloutStep struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Expected is the phase that the roll-out must still be in.
	Expected api.RolloutPhase `json:"expected"`
	// ElapsedMs is the time since the order. A value below the recorded one has no effect.
	ElapsedMs int64 `json:"elapsed_ms,omitempty"`
	// Forget removes the elapsed time of an ended roll-out; the same order then begins another one.
	Forget bool `json:"forget,omitempty"`
	// Change is the next phase, or the present one with other canary targets; nil if only the time passes.
	Change *RolloutChange `json:"change,omitempty"`
}

// RolloutChange replaces the fields of a roll-out that the leader decides.
type RolloutChange struct {
	Phase   api.RolloutPhase `json:"phase"`
	Share   float64          `json:"share,omitempty"`
	Canary  []api.TargetID   `json:"canary,omitempty"`
	Retired []string         `json:"retired,omitempty"`
	Reason  string           `json:"reason,omitempty"`
}

// startRollout applies an operator's order. Its result is not stored by change id: the state itself shows a resend,
// and a refused order may be acceptable later.
func (m *Machine) startRollout(next *api.ControlState, o *api.RolloutOrder) *api.ChangeResult {
	cfg := &next.Configuration
	if err := checkRolloutOrder(cfg, o); err != nil {
		return &api.ChangeResult{Version: cfg.Version, Error: err}
	}
	last := cfg.FindRollout(o.Service)
	if last != nil {
		_, resendable := next.RolloutElapsed[last.ID]
		same := last.Version == o.Version && last.DurationMs == o.DurationMs
		inForce := last.Version == o.Version && last.Phase == api.RolloutCompleted
		switch {
		case same && resendable || inForce:
			return &api.ChangeResult{Version: cfg.Version}
		case !last.Phase.Ended():
			err := errkind.New(errkind.Conflict, "a roll-out of %q to version %q is running", o.Service, last.Version)
			return &api.ChangeResult{Version: cfg.Version, Error: err}
		}
	}
	added := api.Rollout{
		ID:         strconv.FormatUint(next.Index, 10),
		Service:    o.Service,
		Version:    o.Version,
		DurationMs: o.DurationMs,
		Phase:      api.RolloutStarting,
		Retired:    retiredBefore(last, o.Version),
	}
	next.RolloutElapsed = copyElapsed(next.RolloutElapsed)
	if last != nil {
		delete(next.RolloutElapsed, last.ID)
	}
	next.RolloutElapsed[added.ID] = 0
	cfg.Rollouts = slices.DeleteFunc(slices.Clone(cfg.Rollouts), func(r api.Rollout) bool { return r.Service == o.Service })
	cfg.Rollouts = append(cfg.Rollouts, added)
	// OperatorVersion stays: an order conflicts with no other change.
	cfg.Version = next.Index
	return &api.ChangeResult{Version: next.Index}
}

func checkRolloutOrder(cfg *api.Configuration, o *api.RolloutOrder) *errkind.Error {
	switch {
	case o == nil:
		return errkind.New(errkind.Invalid, "no roll-out")
	case cfg.Services.Find(o.Service) == nil:
		return errkind.New(errkind.Invalid, "no service %q", o.Service)
	case o.Version == "" || len(o.Version) > maxVersionBytes:
		return errkind.New(errkind.Invalid, "version of a roll-out must have 1 to %d bytes", maxVersionBytes)
	case o.DurationMs <= 0 || o.DurationMs > maxRolloutDuration.Milliseconds():
		return errkind.New(errkind.Invalid, "duration of a roll-out must be above 0 and at most %v", maxRolloutDuration)
	}
	return nil
}

// retiredBefore returns the versions that get no requests because of the last roll-out of the service. Targets of them
// may still run when the next one is ordered.
func retiredBefore(last *api.Rollout, version string) []string {
	if last == nil {
		return nil
	}
	list := slices.Clone(last.Retired)
	if last.Phase == api.RolloutRolledBack && !slices.Contains(list, last.Version) {
		list = append(list, last.Version)
	}
	list = slices.DeleteFunc(list, func(v string) bool { return v == version })
	return list[max(0, len(list)-maxRetired):]
}

// stepRollout applies a step of the leader. Only a change raises the version of the configuration.
func (e *editor) stepRollout(s RolloutStep) *errkind.Error {
	cfg := &e.state.Configuration
	i := slices.IndexFunc(cfg.Rollouts, func(r api.Rollout) bool { return r.ID == s.ID })
	if i < 0 {
		return errkind.New(errkind.NotFound, "no roll-out %q", s.ID)
	}
	if s.Change != nil && s.Expected.Ended() {
		return errkind.New(errkind.Conflict, "roll-out of %q has ended", s.Service)
	}
	if cfg.Rollouts[i].Phase != s.Expected {
		return errkind.New(errkind.Conflict, "roll-out of %q is %q, expected %q", s.Service, cfg.Rollouts[i].Phase, s.Expected)
	}
	e.state.RolloutElapsed = copyElapsed(e.state.RolloutElapsed)
	if s.Forget && s.Expected.Ended() {
		delete(e.state.RolloutElapsed, s.ID)
		return nil
	}
	e.state.RolloutElapsed[s.ID] = max(e.state.RolloutElapsed[s.ID], s.ElapsedMs)
	if s.Change == nil {
		return nil
	}
	cfg.Rollouts = slices.Clone(cfg.Rollouts)
	r := &cfg.Rollouts[i]
	r.Phase, r.Share, r.Canary, r.Reason = s.Change.Phase, s.Change.Share, s.Change.Canary, s.Change.Reason
	if s.Change.Phase == api.RolloutCompleted {
		r.Retired = s.Change.Retired[max(0, len(s.Change.Retired)-maxRetired):]
	}
	cfg.Version = e.state.Index
	return nil
}

// copyElapsed returns a copy that is never nil.
func copyElapsed(elapsed map[string]int64) map[string]int64 {
	if elapsed == nil {
		return make(map[string]int64)
	}
	return maps.Clone(elapsed)
}

// dropOrphanedRollouts drops the roll-outs of removed services.
func (e *editor) dropOrphanedRollouts() {
	c := &e.state.Configuration
	if len(c.Rollouts) == 0 {
		return
	}
	elapsed := maps.Clone(e.state.RolloutElapsed)
	c.Rollouts = slices.DeleteFunc(slices.Clone(c.Rollouts), func(r api.Rollout) bool {
		orphaned := c.Services.Find(r.Service) == nil
		if orphaned {
			delete(elapsed, r.ID)
		}
		return orphaned
	})
	e.state.RolloutElapsed = elapsed
}
