package tokens

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Reserve sets aside what nodes out of contact admit by themselves: for each silent session the share
// that it was told, and an even part for it when it was told none and for each session of others that this
// leader has not heard of. n is the number of nodes of the fleet.
func (a *Authority) Reserve(now time.Time, silent []api.SessionID, others, n int) {
	if n <= 0 {
		return
	}
	a.reserved = float64(len(silent)+others) / float64(n)
	for id, b := range a.buckets {
		reserved := float64(others) / float64(n)
		for _, s := range silent {
			reserved += a.toldPart(s, id, float64(n))
		}
		if reserved = min(reserved, 1); reserved != b.reserved {
			b.refill(now)
			b.reserved = reserved
		}
	}
}

// toldPart is the part of the organisation's rate that a silent session admits by itself.
func (a *Authority) toldPart(session api.SessionID, org api.OrganisationID, n float64) float64 {
	h := a.sessions[session]
	if h == nil {
		return 1 / n
	}
	if acc := h.accounts[org]; acc != nil && acc.toldAny {
		return part(acc.told, n)
	}
	return 1 / n
}
