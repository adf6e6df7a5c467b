package tokens

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// activeSpan is how long after its last arrival in the fleet an organisation keeps a
	// floor at each node.
	activeSpan = 30 * time.Second
	// floorShare divides what the bucket holds: floors tie up at most this part of it.
	floorShare = 4
	// filledShare divides the burst: below this part the bucket counts as drained and
	// floors go back, since tokens at idle nodes would be missing elsewhere.
	filledShare = 2
)

func (a *Authority) noteActive(now time.Time, id api.OrganisationID, b *bucket) {
	b.lastArrival = now
	a.active[id] = b
}

// setFloors gives the session a floor in each active organisation. A new leader lets the
// nodes keep what they hold, since it cannot issue anything yet.
func (a *Authority) setFloors(now time.Time, h *holder) {
	waiting := now.Before(a.start)
	for _, acc := range h.accounts {
		acc.floor = 0
		if waiting {
			acc.floor = acc.outstanding()
		}
	}
	if waiting {
		return
	}
	for id, b := range a.active {
		if b.removed || now.Sub(b.lastArrival) > activeSpan {
			delete(a.active, id)
			continue
		}
		if floor := b.floor(len(a.sessions)); floor > 0 {
			h.raise(b, id, floor)
		}
	}
}

// floor returns the floor of each of n sessions.
func (b *bucket) floor(n int) int64 {
	held := b.level + float64(b.outstanding)
	if b.shadow.empty || b.scarce() || held < b.burst/filledShare {
		return 0
	}
	return int64(held / floorShare / float64(n))
}

// raise sets the floor of the account and makes it want at least that many tokens.
func (h *holder) raise(b *bucket, id api.OrganisationID, floor int64) {
	acc := h.accounts[id]
	if acc == nil {
		acc = &account{}
		h.accounts[id] = acc
	}
	acc.floor = floor
	if acc.outstanding()+acc.wanted < floor {
		b.setWanted(acc, floor-acc.outstanding(), acc.waiting)
	}
}
