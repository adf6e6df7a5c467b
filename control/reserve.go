package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/tokens"
)

// reserveSilent sets aside the share of the rates that nodes out of contact admit by themselves.
func (l *leader) reserveSilent(view *api.ControlState, now time.Time) {
	latest := make(map[string]*session)
	for _, s := range l.sessions {
		name := s.last.Name
		if !s.final && (latest[name] == nil || s.deadline.After(latest[name].deadline)) {
			latest[name] = s
		}
	}
	var silent []api.SessionID
	for _, s := range latest {
		if now.Sub(l.heardAt(s)) >= tokens.ReserveAfter {
			silent = append(silent, s.last.Session)
		}
	}
	unheard := 0
	for _, id := range view.Sessions {
		if l.sessions[id] == nil {
			unheard++
		}
	}
	l.authority.Reserve(now, silent, unheard, len(latest)+unheard)
}
