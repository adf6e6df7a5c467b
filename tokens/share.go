package tokens

import (
	"math"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// arrivalDecayTime is the time constant with which past arrivals lose weight in the shares. With a
	// shorter one, a node with few requests of an organisation gets no share at all.
	arrivalDecayTime = 10 * time.Second
	// minShareArrivals is the weighted count of arrivals in the fleet from which shares are sent.
	minShareArrivals = 10.0
	// shareDecreaseStep and shareIncreaseStep are the changes, relative to the share sent last, above which
	// a share is sent again. Replies carry only what has changed, and exact shares change with every
	// request. The total that all nodes admit by themselves exceeds a rate by shareDecreaseStep at most.
	shareDecreaseStep = 0.05
	shareIncreaseStep = 0.15
	// evenShare is the fraction of each rate that is divided evenly among the nodes, for requests that
	// arrive at other nodes than before.
	evenShare = 0.05
)

// recentArrivals is a count of arrivals that decays exponentially.
type recentArrivals struct {
	value float64
	at    time.Time
}

func (d *recentArrivals) add(now time.Time, n int64) {
	d.value = d.current(now) + float64(n)
	d.at = now
}

func (d *recentArrivals) current(now time.Time) float64 {
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/arrivalDecayTime.Seconds())
}

// setReplyShare sets the session's share of the arrivals in the reply, once minShareArrivals is reached.
func (b *bucket) setReplyShare(now time.Time, acc *holderAccount, reply *api.TokenReply) {
	all := b.recentArrivals.current(now)
	if all < minShareArrivals {
		return
	}
	share := acc.recentArrivals.current(now) / all
	if !acc.shareSent || share < acc.sentShare*(1-shareDecreaseStep) || share > acc.sentShare*(1+shareIncreaseStep) {
		acc.sentShare, acc.shareSent = share, true
	}
	reply.Share, reply.Shared = acc.sentShare, true
}

// localShare returns the fraction of a rate that one of n nodes admits by itself, given its share of the
// arrivals.
func localShare(share, n float64) float64 { return (1-evenShare)*share + evenShare/n }
