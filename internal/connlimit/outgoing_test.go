package connlimit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against connections to targets and nodes that take all descriptors, and against idle ones that keep out others.
func TestOutgoingConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	idle, reliefs := 2, 0
	var o *Outgoing
	o = NewOutgoing(3, func() {
		reliefs++
		for ; idle > 0; idle-- {
			o.Close()
		}
	})
	for range 3 {
		is.True(o.Open())
	}
	is.True(o.Open()) // two idle connections were closed for it
	is.True(o.Open())
	is.True(!o.Open())
	is.Equal(reliefs, 1) // the second relief would follow at once
	o.Close()
	is.True(o.Open())
	var unlimited *Outgoing
	is.True(unlimited.Open())
	unlimited.Close()
}
