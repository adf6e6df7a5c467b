package cluster

import (
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// Direction is a direction of a link.
type Direction int

// Directions of a link. Forward is from the process that opened the connection.
const (
	Both Direction = iota
	Forward
	Backward
)

// valve decides whether the data of a link may pass. Data that may not pass waits, as it does
// in TCP until a retransmission gets through.
type valve struct {
	mu  sync.Mutex
	cut [2]bool
	// generation grows with each silence; connections of an earlier one stay silent.
	generation uint64
	// latency is how long each piece of data is held back.
	latency time.Duration
	// released lets everything pass, so that the goroutines of connections end with the test.
	released bool
	changed  chan struct{}
}

func newValve() *valve { return &valve{changed: make(chan struct{})} }

func (v *valve) update(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f()
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *valve) set(d Direction, cut bool) {
	v.update(func() {
		if d != Backward {
			v.cut[stream.Upstream] = cut
		}
		if d != Forward {
			v.cut[stream.Downstream] = cut
		}
	})
}

func (v *valve) silence() { v.update(func() { v.generation++ }) }

func (v *valve) delay(d time.Duration) { v.update(func() { v.latency = d }) }

// due returns when data that has arrived now may pass.
func (v *valve) due() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.released || v.latency <= 0 {
		return time.Time{}
	}
	return time.Now().Add(v.latency)
}

func (v *valve) release() { v.update(func() { v.released = true }) }

// connection is what the valve knows of one direction of one connection.
type connection struct {
	generation uint64
	// established says that the valve was open both ways at some moment since the dial. The
	// handshake of TCP needs both directions, so no data passes on a connection before that,
	// even in a direction that is not cut.
	established bool
}

func (v *valve) connect() *connection {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &connection{generation: v.generation, established: !v.anyCut()}
}

func (v *valve) anyCut() bool { return v.cut[stream.Upstream] || v.cut[stream.Downstream] }

// open reports whether data of a connection may pass now, and returns a channel that is closed at the next change.
func (v *valve) open(d stream.Direction, c *connection) (bool, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.established = c.established || !v.anyCut()
	passes := c.established && !v.cut[d] && c.generation == v.generation
	return v.released || passes, v.changed
}

// toxicType is the name under which valveToxic is registered with toxiproxy.
const toxicType = "zinnia-valve"

// valves finds the valve of a toxic, which toxiproxy builds from JSON attributes.
var valves sync.Map

// valveToxic passes data through the valve of its link. It is added to a proxy before the first connection.
type valveToxic struct {
	ID        int64            `json:"id"`
	Direction stream.Direction `json:"direction"`
}

func init() { toxics.Register(toxicType, new(valveToxic)) }

func (t *valveToxic) valve() *valve {
	v, _ := valves.Load(t.ID)
	return v.(*valve)
}

// NewState implements toxics.StatefulToxic: it records the state of the valve at the dial.
func (t *valveToxic) NewState() any { return t.valve().connect() }

// Pipe implements toxics.Toxic.
func (t *valveToxic) Pipe(stub *toxics.ToxicStub) {
	f := &flow{valve: t.valve(), direction: t.Direction, stub: stub}
	for f.step() {
	}
}

// flow is one direction of one connection.
type flow struct {
	valve     *valve
	direction stream.Direction
	stub      *toxics.ToxicStub
	// held is data that was read and not yet passed on.
	held *stream.StreamChunk
	// due is when it may pass.
	due time.Time
	// ended says that the sender has closed the connection.
	ended bool
}

// step moves one chunk or waits; it returns false at the end.
func (f *flow) step() bool {
	open, changed := f.valve.open(f.direction, f.stub.State.(*connection))
	switch {
	case !open:
		return f.wait(changed)
	case f.held != nil && time.Now().Before(f.due):
		return f.sleep()
	case f.held != nil:
		return f.send(changed)
	case f.ended:
		f.stub.Close()
		return false
	default:
		return f.receive(changed)
	}
}

func (f *flow) wait(changed <-chan struct{}) bool {
	select {
	case <-f.stub.Interrupt:
		return false
	case <-changed:
		return true
	}
}

// sleep waits until the data may pass, also while the valve changes.
func (f *flow) sleep() bool {
	timer := time.NewTimer(time.Until(f.due))
	defer timer.Stop()
	select {
	case <-f.stub.Interrupt:
		return false
	case <-timer.C:
		return true
	}
}

func (f *flow) send(changed <-chan struct{}) bool {
	select {
	case <-f.stub.Interrupt:
		return false
	case <-changed:
		return true
	case f.stub.Output <- f.held:
		f.held = nil
		return true
	}
}

func (f *flow) receive(changed <-chan struct{}) bool {
	select {
	case <-f.stub.Interrupt:
		return false
	case <-changed:
		return true
	case f.held = <-f.stub.Input:
		f.due, f.ended = f.valve.due(), f.held == nil
		return true
	}
}
