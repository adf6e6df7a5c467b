package tokens

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Reserve withholds from issue the part of each rate that nodes without contact to the leader admit by
// themselves: for each unreachable session its standalone part of the rate, or 1/n if it was sent no
// share, and 1/n for each unknown node, one that has not contacted this leader yet. n is the number of
// nodes in the fleet.
func (a *Authority) Reserve(now time.Time, unreachable []api.SessionID, unknown, n int) {
	if n <= 0 {
		return
	}
	a.reserved = float64(len(unreachable)+unknown) / float64(n)
	for id, b := range a.buckets {
		reserved := float64(unknown) / float64(n)
		for _, s := range unreachable {
			reserved += a.reservedPart(s, id, float64(n))
		}
		if reserved = min(reserved, 1); reserved != b.reserved {
			b.refill(now)
			b.reserved = reserved
		}
	}
}

// reservedPart returns the fraction of the organisation's rate that a session without contact admits
// by itself.
func (a *Authority) reservedPart(session api.SessionID, org api.OrganisationID, n float64) float64 {
	h := a.sessions[session]
	if h == nil {
		return 1 / n
	}
	if acc := h.accounts[org]; acc != nil && acc.shareSent {
		return localShare(acc.sentShare, n)
	}
	return 1 / n
}
