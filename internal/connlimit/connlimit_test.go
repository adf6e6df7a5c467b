package connlimit

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// peer is a connection whose closing is recorded.
type peer struct {
	slot   *Slot
	busy   bool
	closed bool
}

func (p *peer) evict(force bool) bool {
	if p.busy && !force || p.closed {
		return false
	}
	p.closed = true
	return true
}

func open(g *Group) *peer {
	p := &peer{}
	if p.slot = g.Open(p.evict); p.slot == nil {
		return nil
	}
	return p
}

// work lets a request of the size begin.
func (p *peer) work(bytes int64) *peer {
	p.slot.Receive(bytes)
	p.busy = true
	p.slot.Working()
	return p
}

// Guards against new callers that are refused while others leave connections unused, and against closing connections with
// requests at work. Load pattern: more connections than the process may have, most of them idle or with slow heads.
func TestIdleThenSlowConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Connections: 3, RequestBytes: 1 << 20}).Group("callers", 0)
	g.least = 0
	slow, working, unused := open(g), open(g).work(500), open(g)
	is.True(slow.slot.Receive(10))
	is.True(open(g).work(500) != nil) // in place of unused
	is.True(unused.closed && !slow.closed)
	is.True(open(g).work(500) != nil) // in place of slow
	is.True(slow.closed && !working.closed)
	is.True(open(g) == nil) // all at work
	working.slot.Release()
	is.True(open(g) != nil)
	slow.slot.Release() // a second time, when its connection ends
	is.Equal(g.open, 3)
}

// Guards against one listener that takes all connections of the process.
func TestReserveStaysFree(t *testing.T) {
	is := is.New(t)
	p := New(Limits{Connections: 100, RequestBytes: 1 << 20})
	callers, hop := p.Group("callers", 0), p.Group("hop", 0.25)
	for range 75 {
		is.True(open(callers).work(100) != nil)
	}
	is.True(open(callers) == nil)
	for range 25 {
		is.True(open(hop) != nil)
	}
}

// Guards against heads that together exhaust the memory, and against refusing ordinary requests beside them. Load pattern: many
// connections that send long heads without end, and short heads of ordinary callers.
func TestLongHeadsAreClosedAndShortOnesPass(t *testing.T) {
	is := is.New(t)
	p := New(Limits{Connections: 1000, RequestBytes: 1 << 20})
	g := p.Group("callers", 0)
	var long []*peer
	for range 200 {
		long = append(long, open(g))
	}
	for range 20 {
		for _, l := range long {
			if !l.closed && !l.slot.Receive(8<<10) {
				l.closed = true
			}
			is.True(p.memory <= 1<<20+16<<10)
		}
		ordinary := open(g)
		is.True(ordinary.slot.Receive(1500))
		ordinary.slot.Working()
		is.True(!ordinary.closed)
		ordinary.slot.Idle()
	}
	for _, l := range long {
		l.slot.Release()
	}
	is.Equal(p.memory, int64(0))
}

// Guards against refusing a single large request that is inside the limits, when there is no other load.
func TestSingleLargeRequestPasses(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Connections: 1000, RequestBytes: 1 << 20}).Group("operators", 0)
	for range 10 {
		open(g).work(2000)
	}
	large := open(g)
	for range 100 {
		is.True(large.slot.Receive(100 << 10))
	}
	second := open(g)
	is.True(second.slot.Receive(600 << 10))
	is.True(second.slot.Receive(600 << 10))
	is.True(large.closed) // it holds more, for longer
}

// Guards against requests at work that hold the memory: those with ordinary heads stay, those with huge ones are cut off.
func TestHugeRequestsAtWorkAreCutOff(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Connections: 1000, RequestBytes: 1 << 20}).Group("callers", 0)
	ordinary, huge := open(g).work(100<<10), open(g).work(700<<10)
	last := open(g)
	is.True(last.slot.Receive(300 << 10))
	is.True(huge.closed && !ordinary.closed && !last.closed)
}

// Guards against defaults that refuse an ordinary burst of callers on a host of the deployment.
func TestDerivedLimits(t *testing.T) {
	is := is.New(t)
	is.Equal(derive(184<<20, 4100), Limits{Connections: 3075, RequestBytes: 23 << 20, UnreadBytes: 46 << 20, Outgoing: 820})
	is.Equal(derive(280<<20, 4096), Limits{Connections: 3072, RequestBytes: 35 << 20, UnreadBytes: 70 << 20, Outgoing: 819})
	is.Equal(derive(32<<20, 4100), Limits{Connections: 682, RequestBytes: 8 << 20, UnreadBytes: 8 << 20, Outgoing: 820})
	is.Equal(derive(184<<20, 4100).ReceiveBuffer(), (46<<20)/3075)
	is.Equal(derive(16<<20, 4100).ReceiveBuffer(), (4<<20)/341)
	is.Equal(derive(16<<20, 4100).WithConnections(4000).ReceiveBuffer(), minReceiveBuffer)
	is.Equal(derive(8<<30, 4100).ReceiveBuffer(), MaxReceiveBuffer)
	is.Equal(derive(48<<20, 20).Connections, MinConnections)
	is.Equal(derive(48<<20, 400).WithConnections(77).Connections, 77)
}

// Guards against a listener that stops for good, or spins, when the process has no descriptor left.
func TestShortageOfDescriptorsIsWaitedOut(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Connections: 10, RequestBytes: 1 << 20}).Group("callers", 0)
	idle := open(g)
	var a AcceptPause
	first, ok := a.After(fmt.Errorf("accept: %w", syscall.EMFILE), g)
	is.True(ok && first > 0 && idle.closed)
	is.Equal(g.process.limits.Connections, 10) // no more than before
	second, ok := a.After(syscall.EMFILE, g)
	is.True(ok && second > first)
	_, ok = a.After(syscall.EBADF, g)
	is.True(!ok)

	g = New(Limits{Connections: 1000, RequestBytes: 1 << 20}).Group("callers", 0)
	for range 100 {
		open(g)
	}
	g.Relieve(true)
	is.Equal(g.process.limits.Connections, 87)
	is.Equal(g.open, 87)
}
