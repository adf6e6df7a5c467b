package tokens

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// activeDuration is the time after its last arrival anywhere in the fleet for which an
	// organisation keeps a floor, a minimum of tokens, at each node.
	activeDuration = 30 * time.Second
	// floorDivisor limits the sum of all floors to the bucket's tokens divided by it.
	floorDivisor = 4
	// drainedDivisor sets when a bucket is drained: when it holds less than the burst divided by
	// it. Floors are then withdrawn, since busy nodes need the tokens held at idle ones.
	drainedDivisor = 2
)

// markActive records an arrival of the organisation.
func (a *Authority) markActive(now time.Time, id api.OrganisationID, b *bucket) {
	b.lastArrival = now
	a.active[id] = b
}

// setFloors sets the floor of the session for each active organisation. A new leader that cannot issue
// tokens yet lets the nodes keep what they hold.
func (a *Authority) setFloors(now time.Time, h *holder) {
	waiting := now.Before(a.issueFrom)
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
		if b.removed || now.Sub(b.lastArrival) > activeDuration {
			delete(a.active, id)
			continue
		}
		if floor := b.floor(len(a.sessions)); floor > 0 {
			h.raiseFloor(b, id, floor)
		}
	}
}

// floor returns the floor, in tokens, of each of n sessions.
func (b *bucket) floor(n int) int64 {
	held := b.level + float64(b.outstanding)
	if b.referenceBucket.empty || b.scarce() || held < b.burst/drainedDivisor {
		return 0
	}
	return int64(held / floorDivisor / float64(n))
}

// raiseFloor sets the floor of the account and raises its unmet demand to reach it.
func (h *holder) raiseFloor(b *bucket, id api.OrganisationID, floor int64) {
	acc := h.accounts[id]
	if acc == nil {
		acc = &holderAccount{}
		h.accounts[id] = acc
	}
	acc.floor = floor
	if acc.outstanding()+acc.unmet < floor {
		b.setUnmet(acc, floor-acc.outstanding(), acc.waiting)
	}
}
