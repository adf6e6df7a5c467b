package gateway

import (
	"time"

	"github.com/zinniapier/zinniapier/internal/hangup"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Counters of attempts whose first byte is due after the connection of their request has been closed: with a body that has
// not been read, or without one.
const (
	eventClosedUnread = "closed_before_send_body_unread"
	eventClosedRead   = "closed_before_send"
)

// observeClosed counts and logs an attempt that is about to be sent although its request's connection has been closed.
func (g *Gateway) observeClosed(c *call) {
	if !hangup.Closed(c.incoming.Context()) {
		return
	}
	event := eventClosedRead
	if c.body.pending() {
		event = eventClosedUnread
	}
	telemetry.CountEvent(event, 1)
	g.requests.logClosed(c, time.Now())
}
