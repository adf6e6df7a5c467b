package control

import (
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/state"
)

// sessionOpen reports whether the session is open in the replicated state.
func sessionOpen(view *api.ControlState, id api.SessionID) bool {
	_, open := slices.BinarySearch(view.Sessions, id)
	return open
}

// planSessions adds to the batch the sessions to open and to close. It closes sessions that have
// ended or that did not report to this leader within one lease plus the drift margin.
func (l *leader) planSessions(view *api.ControlState, now time.Time, batch *state.Batch) {
	for id := range l.opening {
		if sessionOpen(view, id) {
			delete(l.opening, id)
			l.notYetReported[id] = now.Add(l.o.Lease + l.o.DriftMargin)
			continue
		}
		batch.Opens = append(batch.Opens, id)
	}
	for _, id := range view.Sessions {
		if _, wanted := l.opening[id]; !wanted && l.shouldClose(id, now) {
			batch.Closes = append(batch.Closes, id)
			delete(l.notYetReported, id)
		}
	}
	slices.Sort(batch.Opens)
}

// shouldClose reports whether an open session has ended, or has not reported for one lease plus
// the drift margin since this leader first saw it open.
func (l *leader) shouldClose(id api.SessionID, now time.Time) bool {
	s := l.sessions[id]
	if s != nil && !s.lost {
		delete(l.notYetReported, id)
		return false
	}
	deadline, seen := l.notYetReported[id]
	if s != nil && !seen {
		return true
	}
	if !seen {
		l.notYetReported[id] = now.Add(l.o.Lease + l.o.DriftMargin)
		return false
	}
	return !now.Before(deadline)
}

// endTokenWithholding lets the authority of a new leader issue tokens early: once every open
// session has sent a heartbeat in this term. These reports include all tokens of the earlier
// leader, so no others are outstanding.
func (l *leader) endTokenWithholding(view *api.ControlState, now time.Time) {
	if !l.tokensWithheld {
		return
	}
	if !l.earlierLeasesMayHold(now) {
		l.tokensWithheld = false
		return
	}
	for _, id := range view.Sessions {
		if s := l.sessions[id]; s == nil || s.last.Term < l.term || !s.tokens.Synced() {
			return
		}
	}
	l.tokensWithheld = false
	l.authority.StartIssuing(now)
}
