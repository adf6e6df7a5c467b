package gateway

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

// Guards against heartbeats and small requests that wait behind the bodies of many uploads on the
// link of a host.
func TestLargeBodiesLeaveLinkCapacity(t *testing.T) {
	is := is.New(t)
	const uploads, mbps = 8, 8
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.addr(), config.Traffic{LinkMbps: mbps})
	connect(nil, a, b)
	body := strings.Repeat("x", maxSmallBody+1)
	began := time.Now()
	var all sync.WaitGroup
	for range uploads {
		all.Go(func() { is.Equal(a.call(t, "POST", "/orders/k", body).status, 200) })
	}
	all.Wait()
	onLink := time.Duration(float64(uploads*len(body)) / (mbps * 1e6 / 8) * float64(time.Second))
	is.True(time.Since(began) >= onLink)
	is.Equal(target.runs.Load(), int64(uploads))
}

// Guards against bodies that wait for the link until their response comes too late, and against
// refused bodies that delay others.
func TestBodyThatWouldWaitTooLongIsRefused(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := newBodyPacer(8)
	const second = 1e6 * bodyLinkShare // bytes that the link transfers in a second
	soon := gate.Request{Objective: now.Add(time.Second)}
	start, err := p.reserve(now, second*9/10, soon, 0, now.Add(3*time.Second))
	is.NoErr(err)
	is.True(!start.After(now))
	_, err = p.reserve(now, second*9/10, soon, 0, now.Add(3*time.Second))
	is.Equal(errkind.From(err).Kind, errkind.Overloaded)
	is.True(errkind.From(err).NotRun)
	// A caller without an objective waits until its deadline minus the service time.
	_, err = p.reserve(now, second, gate.Request{}, 200*time.Millisecond, now.Add(2*time.Second))
	is.Equal(errkind.From(err).Kind, errkind.Overloaded)
	start, err = p.reserve(now, second, gate.Request{}, 50*time.Millisecond, now.Add(2*time.Second))
	is.NoErr(err)
	is.True(start.After(now.Add(800 * time.Millisecond)))
	p.release(second)
	is.True(p.wait(now) < time.Second)
}
