package gateway

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/gate"
)

// Guards against large bodies that are sent to a node whose target refuses them, and against a
// refused upload that cannot fail over to another target because its body has been consumed.
func TestRefusedUploadFailsOverWithoutItsBody(t *testing.T) {
	is := is.New(t)
	full, free := newTarget(t, echoOK), newTarget(t, echoOK)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", full.addr(), config.Traffic{})
	c := newNode(t, "c", free.addr(), config.Traffic{})
	b.local.gate = gate.New(gate.Options{Slots: 1, QueueLength: 1, NoColdStart: true})
	_, err := b.local.gate.Acquire(t.Context(), "busy", 1)
	is.NoErr(err)
	go func() { _, _ = b.local.gate.Acquire(t.Context(), "busy", 1) }()
	for b.local.gate.Snapshot().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	var crossed atomic.Int64
	link := newRelay(t, b.peer.InternalAddr, func(_ int64, from, to net.Conn) {
		go func() {
			n, _ := io.Copy(to, from)
			crossed.Add(n)
			_ = to.Close()
		}()
		_, _ = io.Copy(from, to)
		_ = from.Close()
	})
	b.peer.InternalAddr = link.Addr().String()
	connect(nil, a, b, c)
	upload := strings.Repeat("x", maxBufferedBody+1)
	for range 10 {
		is.Equal(a.call(t, "POST", "/orders/k", upload).status, 200)
	}
	is.Equal(full.runs.Load(), int64(0))
	is.Equal(free.runs.Load(), int64(10))
	is.True(crossed.Load() < int64(len(upload)))
}
