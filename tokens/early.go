package tokens

import "time"

// earlyFillTime is the time in which the rate fills the early level of a bucket. Its tokens come on
// top of the burst that an earlier leader may have issued, so they have to stay within the tolerance.
const earlyFillTime = 100 * time.Millisecond

// earlyLevel holds the tokens that a new leader may issue while those of an earlier one may be
// outstanding.
type earlyLevel struct {
	level float64
	last  time.Time
}

// issueEarly issues tokens for waiting requests of the account while tokens of an earlier leader may be
// outstanding. Those are at most the burst, and nothing is stored here beyond what earlyFillTime gives, so
// every window still admits at most burst + rate x t, plus that.
//
// Load pattern: a change of leader in a fleet some of whose nodes do not report. Without early tokens
// every node would admit only its own small part of each rate until the leases of the silent ones end,
// and refuse organisations that are within their rate.
func (b *bucket) issueEarly(now time.Time, acc *holderAccount) {
	most := max(b.rate*earlyFillTime.Seconds(), 1)
	if elapsed := now.Sub(b.early.last); elapsed > 0 {
		b.early.level = min(b.early.level+b.rate*(1-b.reserved)*elapsed.Seconds(), most)
		b.early.last = now
	}
	if b.removed || acc.waiting <= 0 {
		return
	}
	n := share(b.early.level, acc.waiting, b.waiting)
	acc.issued += n
	b.setUnmet(acc, acc.unmet-n, acc.waiting-n)
	b.outstanding += n
	b.early.level -= float64(n)
}
