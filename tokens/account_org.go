package tokens

import (
	"math"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Token admits one request of an organisation. Settle and Refund are safe for concurrent use; only
// the first call has an effect.
type Token struct {
	org        *orgAccount
	generation uint64
	taken      time.Time
	done       bool // guarded by org.mu
}

// Settle counts the token as spent. A token that is neither settled nor refunded settles
// automatically after 250 ms.
func (t *Token) Settle() {
	t.org.mu.Lock()
	defer t.org.mu.Unlock()
	t.org.settle(t)
}

// Refund returns the token of a request that did not run to the account. It has no effect on a
// settled token.
func (t *Token) Refund() {
	t.org.mu.Lock()
	defer t.org.mu.Unlock()
	t.org.refund(t, t.org.now())
}

// waiter is a queued call of Take.
type waiter struct {
	ready chan *Token // buffered for one token; nil means that the request is refused
}

// orgAccount is the account of one organisation at this node. At any time
// issued = settled + returned + free + unsettled.
type orgAccount struct {
	mu         sync.Mutex
	generation uint64
	issued     int64
	settled    int64
	returned   int64
	free       int64
	// unsettled holds the taken tokens, oldest first; settled and refunded ones are removed at its front.
	unsettled []*Token
	waiters   []*waiter

	now               func() time.Time
	heartbeatInterval time.Duration
	lowWater          int64
	wakeRequested     bool // a heartbeat has been requested since the last reply
	lastWake          time.Time
	// exhausted is set by the last reply: a request that finds no free token is refused at once.
	exhausted bool
	// scarce is set by the last reply: the node asks for tokens for one heartbeat interval only, rounded down.
	scarce           bool
	floor            int64   // tokens that the node keeps even without demand
	share            float64 // the node's share of the arrivals in the fleet
	shared           bool    // a leader has sent the share
	sessionArrivals  int64   // requests since the session began
	intervalArrivals int64   // requests since measuredAt
	measuredAt       time.Time
	arrivalRate      float64 // arrivals per second
}

// take returns a token or a queued waiter, or neither if the organisation is exhausted or limit
// waiters are queued. wake reports whether to request a heartbeat.
func (o *orgAccount) take(now time.Time, limit int) (t *Token, w *waiter, wake bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settleOverdue(now)
	o.sessionArrivals++
	o.intervalArrivals++
	if o.hasFree() {
		t = o.issue(now)
		return t, nil, o.free <= o.lowWater && o.wakeForRefill(now)
	}
	if o.refuses(limit) {
		return nil, nil, false
	}
	w = &waiter{ready: make(chan *Token, 1)}
	o.waiters = append(o.waiters, w)
	return nil, w, o.wake(now)
}

// hasFree reports whether the next request gets a token at once. The caller holds the lock.
func (o *orgAccount) hasFree() bool { return o.free > 0 && len(o.waiters) == 0 }

// refuses reports whether the next request is refused if no token is free. The caller holds the lock.
func (o *orgAccount) refuses(limit int) bool { return o.exhausted || len(o.waiters) >= limit }

// preview reports what take would do now.
func (o *orgAccount) preview(limit int) (free, refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasFree(), !o.hasFree() && o.refuses(limit)
}

// wakeForRefill reports whether to request a heartbeat to refill the account: at most once per half
// heartbeat interval, because an organisation beyond its rate is always below its low-water mark.
func (o *orgAccount) wakeForRefill(now time.Time) bool {
	return now.Sub(o.lastWake) >= o.heartbeatInterval/2 && o.wake(now)
}

// wake reports whether to request a heartbeat, once per reply. It is not limited further for waiting
// requests: the session keeps a minimum interval between heartbeats.
func (o *orgAccount) wake(now time.Time) bool {
	if o.wakeRequested {
		return false
	}
	o.wakeRequested = true
	o.lastWake = now
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

// abandon removes a waiter that has timed out. A token that it received meanwhile is refunded, or
// settled if the lease is no longer valid.
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

// settleOverdue settles tokens that were taken settleAfter ago or earlier.
func (o *orgAccount) settleOverdue(now time.Time) {
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

// report returns surplus tokens to the leader, and returns the counts and the number of outstanding tokens.
func (o *orgAccount) report(now time.Time, configured bool) (api.TokenReport, int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settleOverdue(now)
	demand := int64(0)
	if configured {
		demand = o.demand(now)
	}
	if surplus := o.free - max(demand, o.floor); surplus > 0 {
		o.free -= surplus
		o.returned += surplus
	}
	outstanding := o.issued - o.settled - o.returned
	return api.TokenReport{
		Issued:   o.issued,
		Settled:  o.settled,
		Returned: o.returned,
		Arrivals: o.sessionArrivals,
		Demand:   demand + outstanding - o.free,
		Waiting:  int64(len(o.waiters)),
	}, outstanding
}

// leaderShare returns the share that a leader has sent last, and whether one has been sent.
func (o *orgAccount) leaderShare() (float64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share, o.shared
}

// demand returns the number of tokens to hold for expected arrivals and waiting requests.
func (o *orgAccount) demand(now time.Time) int64 {
	o.updateRate(now)
	wanted := o.arrivalRate * demandHeartbeats * o.heartbeatInterval.Seconds()
	if wanted < idleDemand {
		wanted = 0
	}
	if o.scarce {
		return int64(wanted/demandHeartbeats) + int64(len(o.waiters))
	}
	return int64(math.Ceil(wanted)) + int64(len(o.waiters))
}

// updateRate updates the estimated arrival rate. An interval of less than half a heartbeat, as after
// an early heartbeat, is too short for an estimate and is added to the next one.
func (o *orgAccount) updateRate(now time.Time) {
	elapsed := now.Sub(o.measuredAt)
	if elapsed < o.heartbeatInterval/2 {
		return
	}
	current := float64(o.intervalArrivals) / elapsed.Seconds()
	o.arrivalRate = max(current, o.arrivalRate*rateDecay+current*(1-rateDecay))
	o.intervalArrivals = 0
	o.measuredAt = now
}

// apply applies a reply and reports whether to request another heartbeat.
func (o *orgAccount) apply(now time.Time, reply api.TokenReply) (wake bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wakeRequested = false
	o.floor, o.exhausted, o.scarce = reply.Floor, reply.Exhausted, reply.Scarce
	if reply.Shared {
		o.share, o.shared = reply.Share, true
	}
	if reply.Issued > o.issued {
		o.free += reply.Issued - o.issued
		o.issued = reply.Issued
		o.serveWaiters(now)
		o.lowWater = o.free / lowWaterDivisor
	}
	if o.exhausted {
		o.refuseWaiters()
	}
	return len(o.waiters) > 0 && o.wakeForRefill(now)
}

func (o *orgAccount) refuseWaiters() {
	for _, w := range o.waiters {
		w.ready <- nil
	}
	o.waiters = nil
}

// expire returns the free tokens and settles the taken ones, so that no token of the expired lease
// can be taken again after a refund.
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

// reset clears the counts; a new generation invalidates the tokens of the previous session.
func (o *orgAccount) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.generation++
	o.issued, o.settled, o.returned, o.free, o.sessionArrivals = 0, 0, 0, 0, 0
	o.exhausted, o.scarce, o.floor = false, false, 0
	o.unsettled = nil
	o.wakeRequested = false
}
