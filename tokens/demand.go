package tokens

import (
	"math"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// demandMemory is the time in which a past arrival loses most of its weight in the shares. Shorter
	// times give a node that has few requests of an organisation no share at all.
	demandMemory = 10 * time.Second
	// demandKnown is the weight of arrivals from which shares are told.
	demandKnown = 10.0
	// shareFall and shareRise are by how much a share falls or rises, relative to the one told, until it is told
	// again. Replies carry only what has changed, and exact shares change with every request. What all
	// nodes admit by themselves exceeds a rate by shareFall at most.
	shareFall = 0.05
	shareRise = 0.15
	// evenPart of each rate is shared evenly, for requests that reach other nodes than before.
	evenPart = 0.05
)

// demand is a count of arrivals in which older ones weigh less.
type demand struct {
	value float64
	at    time.Time
}

func (d *demand) add(now time.Time, n int64) {
	d.value = d.current(now) + float64(n)
	d.at = now
}

func (d *demand) current(now time.Time) float64 {
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/demandMemory.Seconds())
}

// tell puts the share of the session into the reply, once enough is known.
func (b *bucket) tell(now time.Time, acc *account, reply *api.TokenReply) {
	all := b.demand.current(now)
	if all < demandKnown {
		return
	}
	share := acc.demand.current(now) / all
	if !acc.toldAny || share < acc.told*(1-shareFall) || share > acc.told*(1+shareRise) {
		acc.told, acc.toldAny = share, true
	}
	reply.Share, reply.Shared = acc.told, true
}

// part is the part of a rate that one of n nodes admits by itself with a share of the demand.
func part(share, n float64) float64 { return (1-evenPart)*share + evenPart/n }
