package control

import (
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// opened says whether the session is in the log.
func opened(view *api.ControlState, id api.SessionID) bool {
	_, open := slices.BinarySearch(view.Sessions, id)
	return open
}

// planSessions adds to the batch the sessions to open, and those to close: they have ended, or
// this leader has not heard of them within one lease plus margin.
func (l *leader) planSessions(view *api.ControlState, now time.Time, batch *state.Batch) {
	for id := range l.opening {
		if opened(view, id) {
			delete(l.opening, id)
			l.unheard[id] = now.Add(l.o.Lease + l.o.DriftMargin)
			continue
		}
		batch.Opens = append(batch.Opens, id)
	}
	for _, id := range view.Sessions {
		if _, wanted := l.opening[id]; !wanted && l.hasEnded(id, now) {
			batch.Closes = append(batch.Closes, id)
			delete(l.unheard, id)
		}
	}
	slices.Sort(batch.Opens)
}

// hasEnded says whether an open session has ended, or was not heard of for one lease plus
// margin since this leader saw it opened.
func (l *leader) hasEnded(id api.SessionID, now time.Time) bool {
	s := l.sessions[id]
	if s != nil && !s.lost {
		delete(l.unheard, id)
		return false
	}
	deadline, seen := l.unheard[id]
	if s != nil && !seen {
		return true
	}
	if !seen {
		l.unheard[id] = now.Add(l.o.Lease + l.o.DriftMargin)
		return false
	}
	return !now.Before(deadline)
}

// endTokensWait lets the authority issue tokens before the full wait of a new leader is over,
// once every open session has sent a heartbeat after the leader took over: its report holds
// all tokens of the earlier leader, so no others are outstanding.
func (l *leader) endTokensWait(view *api.ControlState, now time.Time) {
	if !l.tokensWait {
		return
	}
	if !l.waiting(now) {
		l.tokensWait = false
		return
	}
	for _, id := range view.Sessions {
		if s := l.sessions[id]; s == nil || s.last.Term < l.term || !s.tokens.Synced() {
			return
		}
	}
	l.tokensWait = false
	l.authority.StartIssuing(now)
}
