package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against requests that a stopping process takes late and cuts off, and against refusals of those that it can
// finish.
func TestLeaveTakesWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	l := &leave{half: at(2750), end: at(5500)}
	for _, c := range []struct {
		now, deadline, expected int
		admits, fits            bool
	}{
		{0, 10000, 0, true, true},         // nothing is known of its target
		{100, 10000, 72, true, true},      // short work
		{2000, 10000, 2500, true, true},   // would end at 5.1 s
		{2600, 10000, 2500, false, false}, // would be cut at 5.5 s
		{2800, 10000, 72, false, true},    // late, and not certain
		{2800, 3800, 72, true, true},      // ends by its deadline
		{4400, 5400, 2500, true, true},    // likewise
		{4600, 5600, 72, false, true},
		{5480, 6500, 72, false, false},
	} {
		now, deadline, expected := at(c.now), at(c.deadline), time.Duration(c.expected)*time.Millisecond
		is.Equal(l.admits(now, deadline, expected), c.admits)
		is.Equal(l.fits(now, deadline, expected), c.fits)
	}
}

// Guards against callers and other nodes whose requests are taken although the process ends before them, and against
// callers that return to a process that is away.
func TestLeavingNodeRefusesWhatItCannotFinish(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	owner := newNode(t, "a", target.addr(), config.Traffic{})
	other := newNode(t, "b", "", config.Traffic{})
	connect(owner, owner, other)
	owner.Leave(time.Now().Add(time.Second), 500*time.Millisecond)
	owner.leaving.Load().half = time.Now() // the first half is over

	got := owner.call(t, "POST", "/quotes/k", "x")
	is.Equal(got.kind, errkind.ShuttingDown)
	is.Equal(got.notRun, "true")
	after := owner.returnDelay(errkind.ShuttingDown)
	is.True(after > time.Second && after <= 1500*time.Millisecond)
	is.Equal(owner.call(t, "POST", "/quotes/k", "x", "Zinnia-Deadline-Ms", "500").status, http.StatusOK)

	is.Equal(other.call(t, "POST", "/quotes/k", "x", "Zinnia-Deadline-Ms", "500").status, http.StatusOK)
	began := time.Now()
	got = other.call(t, "POST", "/quotes/k", "x") // waits for the owner until its deadline of 2 s
	is.Equal(got.notRun, "true")
	is.True(time.Since(began) > time.Second)
	is.Equal(target.runs.Load(), int64(2))
}
