package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/egress"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// unreadLimit is how long a caller or node may take nothing of a large response before it is cut off; its response
	// takes memory that others need.
	unreadLimit = 5 * time.Second
	// messageOverhead is the number of bytes counted for the head of a request or response between nodes, with the
	// headers of TCP and IP.
	messageOverhead = 600
	// egressLines limits the log lines per second.
	egressLines = 5
)

// Names of counters.
const (
	eventPaced      = "egress_paced"       // large responses sent over the link
	eventPacedBytes = "egress_paced_bytes" // their bytes
	eventUnread     = "egress_unread"      // cut off since their caller or node did not read
	eventLinkBusy   = "egress_refused"     // refused before they ran, since the link is taken for too long
)

// pacedLink is the link of this host, over which large responses are paced. Its methods do nothing on nil, which stands
// for a link whose speed is not configured.
type pacedLink struct {
	*egress.Link
	unreadLimit time.Duration
	log         *logrus.Entry
	lines       telemetry.Limiter
}

func newPacedLink(linkMbps float64) *pacedLink {
	if linkMbps <= 0 {
		return nil
	}
	l := &pacedLink{
		Link:        egress.NewLink(egress.Options{LinkMbps: linkMbps}),
		unreadLimit: unreadLimit,
		log:         telemetry.Logger("egress"),
		lines:       telemetry.Limiter{PerSecond: egressLines},
	}
	telemetry.Gauge("egress_backlog_bytes", l.Backlog)
	telemetry.Gauge("egress_memory_bytes", l.Memory().Used)
	return l
}

// count records bytes of other traffic over the link.
func (l *pacedLink) count(bytes int64) {
	if l != nil {
		l.Count(bytes)
	}
}

// countRequest records a request to another node, whose body is counted while it is sent.
func (l *pacedLink) countRequest(req *http.Request) {
	if l == nil {
		return
	}
	l.count(messageOverhead)
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = &countedBody{ReadCloser: req.Body, link: l}
	}
}

// countedBody records the bytes of a request body as they are sent.
type countedBody struct {
	io.ReadCloser
	link *pacedLink
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.link.count(int64(n))
	return n, err
}

// reportWait tells another node how long a large response waits for the link of this host.
func (l *pacedLink) reportWait(h http.Header) {
	if l == nil {
		return
	}
	if wait := l.LargeWait(); wait >= time.Millisecond {
		setHeader(h, api.HeaderLinkWaitMs, formatMilliseconds(wait))
	}
}

// send reads a large response, or one of unknown length, into memory and sends it in chunks when the link is free for
// it. The target is done with the response once it has been read, however slowly it is sent.
func (l *pacedLink) send(w http.ResponseWriter, c *call, a *response) (readErr, writeErr error) {
	control := http.NewResponseController(w)
	// The first node learns that the response is ready, and makes no second attempt.
	if err := l.write(w, control, nil); err != nil {
		return nil, err
	}
	length := a.resp.ContentLength
	transfer := &egress.Transfer{Priority: c.priority, Objective: c.objective, Deadline: c.deadline}
	l.Open(transfer, length)
	defer l.Close(transfer)
	if a.releaseLink != nil {
		a.releaseLink()
	}
	spool := egress.NewSpool(a.body, length, l.Memory(), a.finish)
	defer spool.Close(func() { _ = a.resp.Body.Close() })
	p := chunkPacer{link: l, transfer: transfer}
	if length < 0 {
		p.unpaced = egress.LargeSize
	}
	for {
		chunk, err := spool.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err, nil
		}
		if err := p.await(c.incoming.Context(), chunk); err != nil {
			return nil, err
		}
		if err := l.write(w, control, chunk); err != nil {
			return nil, err
		}
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil, nil
}

// chunkPacer decides when the chunks of one response may be sent.
type chunkPacer struct {
	link     *pacedLink
	transfer *egress.Transfer
	unpaced  int64 // bytes that may be sent before a response of unknown length counts as large
	paced    bool  // a chunk has been paced
}

// await returns once the chunk may be sent.
func (p *chunkPacer) await(ctx context.Context, chunk []byte) error {
	n := int64(len(chunk))
	if p.unpaced >= n {
		p.unpaced -= n
		p.link.count(n)
		return nil
	}
	if err := p.link.waitTurn(ctx, p.transfer, chunk); err != nil {
		return err
	}
	p.unpaced = 0
	if !p.paced {
		p.paced = true
		telemetry.CountEvent(eventPaced, 1)
	}
	telemetry.CountEvent(eventPacedBytes, n)
	return nil
}

// waitTurn waits until the chunk may be sent. At the end of the process the rest is sent at once.
func (l *pacedLink) waitTurn(ctx context.Context, t *egress.Transfer, chunk []byte) error {
	err := l.Wait(ctx, t, len(chunk))
	if err != nil && errkind.Of(context.Cause(ctx)) == errkind.ShuttingDown {
		return nil
	}
	return err
}

// write passes a chunk to the socket. Writers without deadlines are not cut off.
func (l *pacedLink) write(w http.ResponseWriter, control *http.ResponseController, chunk []byte) error {
	_ = control.SetWriteDeadline(time.Now().Add(l.unreadLimit))
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return control.Flush()
}

func (l *pacedLink) logUnread(c *call) {
	telemetry.CountEvent(eventUnread, 1)
	ok, omitted := l.lines.Allow(time.Now())
	if !ok {
		return
	}
	l.log.WithFields(logrus.Fields{"request": c.id, "service": c.ref.Service, "peer": c.incoming.RemoteAddr, "omitted": omitted}).
		Warn("Large response is not read: connection is closed.")
}
