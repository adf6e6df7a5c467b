package tokens

import (
	"math"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Token is one admission of an organisation. Settle and Refund are safe for concurrent use;
// the first call decides.
type Token struct {
	org        *orgAccount
	generation uint64
	taken      time.Time
	done       bool // guarded by org.mu
}

// Settle counts the token as spent for good. A token that is neither settled nor refunded
// settles by itself after 250 ms.
func (t *Token) Settle() {
	t.org.mu.Lock()
	defer t.org.mu.Unlock()
	t.org.settle(t)
}

// Refund gives the token back, for a request that did not run. It has no effect on a token
// that has settled.
func (t *Token) Refund() {
	t.org.mu.Lock()
	defer t.org.mu.Unlock()
	t.org.refund(t, t.org.now())
}

type waiter struct {
	ready chan *Token // buffered for one token; nil means refused
}

// orgAccount is the account of one organisation. At any time
// issued = settled + returned + free + unsettled.
type orgAccount struct {
	mu         sync.Mutex
	generation uint64
	issued     int64
	settled    int64
	returned   int64
	free       int64
	// unsettled holds the taken tokens in order of time; finished ones are removed from its front.
	unsettled []*Token
	waiters   []*waiter

	now      func() time.Time
	beat     time.Duration
	lowWater int64
	kicked   bool // a heartbeat was asked for since the last issue
	lastKick time.Time
	// exhausted is what the last reply said: a request without a token is refused at once.
	exhausted bool
	// scarce is what the last reply said: tokens are kept only for arrivals that are certain.
	scarce   bool
	floor    int64 // tokens kept without demand
	share    float64
	shared   bool  // a leader has told the share
	arrived  int64 // requests of the session
	arrivals int64 // requests since measured
	measured time.Time
	rate     float64 // arrivals per second
}

// take returns a token, or a place in the queue, or neither when the organisation is
// exhausted or the queue holds limit waiters. kick says that a heartbeat should be sent at once.
func (o *orgAccount) take(now time.Time, limit int) (t *Token, w *waiter, kick bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	o.arrived++
	o.arrivals++
	if o.free > 0 && len(o.waiters) == 0 {
		t = o.issue(now)
		return t, nil, o.free <= o.lowWater && o.refill(now)
	}
	if o.exhausted || len(o.waiters) >= limit {
		return nil, nil, false
	}
	w = &waiter{ready: make(chan *Token, 1)}
	o.waiters = append(o.waiters, w)
	return nil, w, o.kick(now)
}

// refill says whether a heartbeat should be asked for although no request waits: not more
// than once in half a heartbeat, since an organisation beyond its rate is always short.
func (o *orgAccount) refill(now time.Time) bool {
	return now.Sub(o.lastKick) >= o.beat/2 && o.kick(now)
}

// kick says whether a heartbeat should be asked for, once before each reply. Requests that
// wait are not held back further; the session keeps the least distance of heartbeats.
func (o *orgAccount) kick(now time.Time) bool {
	if o.kicked {
		return false
	}
	o.kicked = true
	o.lastKick = now
	return true
}

func (o *orgAccount) issue(now time.Time) *Token {
	o.free--
	t := &Token{org: o, generation: o.generation, taken: now}
	o.unsettled = append(o.unsettled, t)
	return t
}

func (o *orgAccount) serveWaiters(now time.Time) {
	for o.free > 0 && len(o.waiters) > 0 {
		w := o.waiters[0]
		o.waiters = o.waiters[1:]
		w.ready <- o.issue(now)
	}
}

// abandon removes a waiter whose time is over. A token that reached it meanwhile goes back.
func (o *orgAccount) abandon(w *waiter, now time.Time, leaseValid bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, other := range o.waiters {
		if other == w {
			o.waiters = append(o.waiters[:i:i], o.waiters[i+1:]...)
			return
		}
	}
	t := <-w.ready
	if t == nil {
		return
	}
	if leaseValid {
		o.refund(t, now)
		return
	}
	o.settle(t)
}

func (o *orgAccount) settle(t *Token) {
	if t.done || t.generation != o.generation {
		return
	}
	t.done = true
	o.settled++
}

func (o *orgAccount) refund(t *Token, now time.Time) {
	if t.done || t.generation != o.generation {
		return
	}
	if now.Sub(t.taken) >= settleAfter {
		o.settle(t)
		return
	}
	t.done = true
	o.free++
	o.serveWaiters(now)
}

// sweep settles tokens that are older than settleAfter.
func (o *orgAccount) sweep(now time.Time) {
	for len(o.unsettled) > 0 {
		t := o.unsettled[0]
		if !t.done && now.Sub(t.taken) < settleAfter {
			return
		}
		o.settle(t)
		o.unsettled[0] = nil
		o.unsettled = o.unsettled[1:]
	}
}

// report returns the counts and the number of outstanding tokens.
func (o *orgAccount) report(now time.Time, configured bool) (api.TokenReport, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep(now)
	demand := int64(0)
	if configured {
		demand = o.demand(now)
	}
	if idle := o.free - max(demand, o.floor); idle > 0 {
		o.free -= idle
		o.returned += idle
	}
	outstanding := o.issued - o.settled - o.returned
	return api.TokenReport{
		Issued:   o.issued,
		Settled:  o.settled,
		Returned: o.returned,
		Arrivals: o.arrived,
		Demand:   demand + outstanding - o.free,
		Waiting:  int64(len(o.waiters)),
	}, outstanding
}

// toldShare returns the share that a leader has told, and whether one has.
func (o *orgAccount) toldShare() (float64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share, o.shared
}

func (o *orgAccount) demand(now time.Time) int64 {
	o.measure(now)
	wanted := o.rate * demandBeats * o.beat.Seconds()
	if wanted < idleDemand {
		wanted = 0
	}
	if o.scarce {
		return int64(wanted/demandBeats) + int64(len(o.waiters))
	}
	return int64(math.Ceil(wanted)) + int64(len(o.waiters))
}

// measure updates the arrival rate. An interval shorter than half a heartbeat, which follows
// an early heartbeat, is too short for an estimate and is added to the next one.
func (o *orgAccount) measure(now time.Time) {
	elapsed := now.Sub(o.measured)
	if elapsed < o.beat/2 {
		return
	}
	current := float64(o.arrivals) / elapsed.Seconds()
	o.rate = max(current, o.rate*rateDecay+current*(1-rateDecay))
	o.arrivals = 0
	o.measured = now
}

// apply takes over a reply and returns whether another heartbeat should be asked for.
func (o *orgAccount) apply(now time.Time, reply api.TokenReply) (kick bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kicked = false
	o.floor, o.exhausted, o.scarce = reply.Floor, reply.Exhausted, reply.Scarce
	if reply.Shared {
		o.share, o.shared = reply.Share, true
	}
	if reply.Issued > o.issued {
		o.free += reply.Issued - o.issued
		o.issued = reply.Issued
		o.serveWaiters(now)
		o.lowWater = o.free / lowWaterShare
	}
	if o.exhausted {
		o.refuseWaiters()
	}
	return len(o.waiters) > 0 && o.refill(now)
}

func (o *orgAccount) refuseWaiters() {
	for _, w := range o.waiters {
		w.ready <- nil
	}
	o.waiters = nil
}

// expire returns the free tokens and settles the taken ones, so that none of the lapsed
// lease can be used again after a refund.
func (o *orgAccount) expire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.unsettled {
		o.settle(t)
	}
	o.unsettled = nil
	o.returned += o.free
	o.free = 0
	o.exhausted = false
}

func (o *orgAccount) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation++
	o.issued, o.settled, o.returned, o.free, o.arrived = 0, 0, 0, 0, 0
	o.exhausted, o.scarce, o.floor = false, false, 0
	o.unsettled = nil
	o.kicked = false
}
