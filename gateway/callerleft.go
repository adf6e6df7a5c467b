package gateway

import (
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
	"github.com/zinniapier/zinniapier/telemetry"
)

// eventCallerLeft counts the attempts that were not sent because the connection of their request had been closed.
const eventCallerLeft = "caller_left_before_send"

// checkCaller refuses an attempt whose caller, or first node, has closed the connection of its request. It is asked immediately
// before the first byte is sent: a process without processor time learns of the close much later. Errors: DeadlineExceeded.
func (c *call) checkCaller() error {
	if !hangup.Closed(c.incoming.Context()) {
		return nil
	}
	telemetry.CountEvent(eventCallerLeft, 1)
	return errkind.New(errkind.DeadlineExceeded, "request ended before it was sent: its connection has been closed")
}
