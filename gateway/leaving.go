package gateway

import (
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

// leave is the planned end of the process.
//
// Load pattern: callers with kept connections and other nodes go on sending while the process stops, and some of the
// requests take longer than is left.
type leave struct {
	// half and end are half-way through the leave and the moment at which all requests are given up.
	half, end time.Time
	// returnsAfter is how long after the end the process serves again; 0 for one that does not return.
	returnsAfter time.Duration
}

// expectedMargin multiplies the expected latency of requests: half of them take longer than expected.
const expectedMargin = 1.25

// fits reports whether a request with the expected latency, 0 if that is not known, ends before the leave does. One
// whose deadline lies before is certain to.
func (l *leave) fits(now, deadline time.Time, expected time.Duration) bool {
	return !deadline.After(l.end) || now.Add(time.Duration(expectedMargin*float64(expected))).Before(l.end)
}

// admits reports whether to take a request that has just arrived: in the first half of the leave if it is expected to end
// in time, later only if it is certain to.
func (l *leave) admits(now, deadline time.Time, expected time.Duration) bool {
	if now.Before(l.half) {
		return l.fits(now, deadline, expected)
	}
	return !deadline.After(l.end)
}

// Leave makes the gateway refuse the requests that would still run at the end of the process. returnsAfter is how long
// after it the process serves again; 0 if it does not.
func (g *Gateway) Leave(end time.Time, returnsAfter time.Duration) {
	now := time.Now()
	g.leaving.Store(&leave{half: now.Add(end.Sub(now) / 2), end: end, returnsAfter: returnsAfter})
}

// checkLeave refuses a request that has just arrived and cannot be finished before the process ends. expected returns its
// expected latency, 0 if that is not known. Errors: ShuttingDown.
func (g *Gateway) checkLeave(deadline time.Time, expected func() time.Duration) *errkind.Error {
	if l := g.leaving.Load(); l != nil && !l.admits(time.Now(), deadline, expected()) {
		return errLeaving()
	}
	return nil
}

// checkStart is checkLeave for a request that has waited for its slot and is about to be sent.
func (g *Gateway) checkStart(deadline time.Time, expected func() time.Duration) *errkind.Error {
	if l := g.leaving.Load(); l != nil && !l.fits(time.Now(), deadline, expected()) {
		return errLeaving()
	}
	return nil
}

func errLeaving() *errkind.Error {
	return errkind.New(errkind.ShuttingDown, "node ends before the request is expected to")
}

// returnDelay returns how long a caller that is refused because the process leaves should wait for its return; 0 if it
// does not return.
func (g *Gateway) returnDelay(kind errkind.Kind) time.Duration {
	l := g.leaving.Load()
	if kind != errkind.ShuttingDown || l == nil || l.returnsAfter == 0 {
		return 0
	}
	return max(time.Until(l.end), 0) + l.returnsAfter
}
