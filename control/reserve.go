package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/tokens"
)

// reserveForUnresponsive sets aside the share of the rates that nodes out of contact admit without
// the leader.
func (l *leader) reserveForUnresponsive(view *api.ControlState, now time.Time) {
	latest := make(map[string]*session)
	for _, s := range l.sessions {
		name := s.last.Name
		if !s.final && (latest[name] == nil || s.deadline.After(latest[name].deadline)) {
			latest[name] = s
		}
	}
	var unresponsive []api.SessionID
	for _, s := range latest {
		if now.Sub(l.lastHeartbeat(s)) >= tokens.ReserveAfter {
			unresponsive = append(unresponsive, s.last.Session)
		}
	}
	notYetReported := 0
	for _, id := range view.Sessions {
		if l.sessions[id] == nil {
			notYetReported++
		}
	}
	l.authority.Reserve(now, unresponsive, notYetReported, len(latest)+notYetReported)
}
