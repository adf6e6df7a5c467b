package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
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

// fromThisHost reports whether a request comes from the host itself, so that its response does not cross the link.
func fromThisHost(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || from.Addr().IsLoopback() {
		return true
	}
	to, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	return ok && to.AddrPort().Addr().Unmap() == from.Addr().Unmap()
}

// sendBody sends the body of a response whose header has been written; a large one that crosses the link is paced. A
// writeErr means that the caller has disconnected or was cut off.
func (g *Gateway) sendBody(w http.ResponseWriter, c *call, a *response) (readErr, writeErr error) {
	length := a.resp.ContentLength
	if g.egress == nil {
		return copyBody(w, a.body, length < 0)
	}
	size := &sizeReader{Reader: a.body}
	a.body = size
	defer func() {
		if readErr == nil && writeErr == nil {
			g.observeSize(c, a, size.bytes)
		}
	}()
	if !c.offHost {
		return copyBody(w, a.body, length < 0)
	}
	if length >= 0 && length <= egress.LargeSize {
		g.egress.count(messageOverhead + length)
		return copyBody(w, a.body, false)
	}
	g.egress.count(messageOverhead)
	readErr, writeErr = g.egress.send(w, c, a)
	if errors.Is(writeErr, os.ErrDeadlineExceeded) {
		g.egress.logUnread(c)
	}
	return readErr, writeErr
}

// sizeReader counts the bytes of a response.
type sizeReader struct {
	io.Reader
	bytes int64
}

// Read implements io.Reader.
func (r *sizeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes += int64(n)
	return n, err
}

// observeSize learns the size of a complete response. Those of errors say nothing about the others of their route.
func (g *Gateway) observeSize(c *call, a *response, bytes int64) {
	if c.routeName != "" && a.resp.StatusCode < http.StatusMultipleChoices {
		g.sizes.Observe(c.ref.Service, c.routeName, bytes)
	}
}

// largeResponse reports whether the response to a call is expected to be large.
func (g *Gateway) largeResponse(c *call) bool {
	return g.egress != nil && c.routeName != "" && g.sizes.Large(c.ref.Service, c.routeName)
}

// reserveLink books the link of this host for the response to a call. release may be called more than once. Errors:
// Overloaded if the response would come too late.
func (g *Gateway) reserveLink(c *call, p destination, t LocalTarget) (release func(), e *errkind.Error) {
	now := time.Now()
	d := g.linkDemand(now, c, p, t)
	took, release, ok := g.egress.Reserve(d)
	if !ok {
		telemetry.CountEvent(eventLinkBusy, 1)
		t.CountRefusal(c.ref, c.key)
		return nil, errLinkBusy(now, took, d)
	}
	return release, nil
}

// linkDemand returns what the response to a call at a target of this host would ask of the link.
func (g *Gateway) linkDemand(now time.Time, c *call, p destination, t LocalTarget) egress.Demand {
	mean, _ := g.sizes.Expected(c.ref.Service, c.routeName)
	d := egress.Demand{Priority: c.priority, Bytes: mean, Processing: t.Gate().ExpectedLatency(), Latest: c.deadline}
	if c.objective.After(now) && !p.late {
		d.Latest = c.objective
	}
	return d
}

func errLinkBusy(now time.Time, took time.Duration, d egress.Demand) *errkind.Error {
	return errkind.New(errkind.Overloaded, "response would have left over the link after %v, but must within %v",
		took, d.Latest.Sub(now))
}

// usesLink reports whether the response to a call is expected to need the link of this host.
func (g *Gateway) usesLink(c *call) bool { return c.offHost && g.largeResponse(c) }

// dispatchReserved is dispatch for a call whose response may need the link of this host. It refuses one that is expected to
// be large and to leave too late.
func (g *Gateway) dispatchReserved(ctx context.Context, v *api.View, c *call, p destination, t LocalTarget, id string, fromHop bool) (
	*response, *errkind.Error) {
	if !g.usesLink(c) {
		return g.dispatch(ctx, v, c, p, t, id, fromHop)
	}
	// Another owner may have a link that is free.
	if err := checkGrant(v, c.ref, p.epoch, c.key); err != nil {
		return nil, errkind.From(err)
	}
	release, e := g.reserveLink(c, p, t)
	if e != nil {
		return nil, e
	}
	a, e := g.dispatch(ctx, v, c, p, t, id, fromHop)
	if e != nil {
		release()
		return nil, e
	}
	a.releaseLink = release
	a.onFinish(release)
	return a, nil
}

// lastTarget reports whether a call that is refused at its next target will not be tried at another one. A response
// that is late is then better than none.
func lastTarget(v *api.View, c *call, tried []api.TargetID) bool {
	return len(tried) >= maxFailovers || len(untried(v.Index.TargetsByService[c.service.Name], tried)) <= 1
}

// returnRefusedHedge gives an attempt back to a call whose second attempt was refused before its target saw it, as where
// the link of that target could not deliver the response in time.
func (r *race) returnRefusedHedge(got raceResult) {
	if !got.first && got.err.NotRun && !got.err.Sent {
		r.call.attemptsLeft++
	}
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
	unpaced := int64(0) // bytes that go before a response of unknown length counts as large
	if length < 0 {
		unpaced = egress.LargeSize
	}
	paced := int64(0)
	for {
		chunk, err := spool.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err, nil
		}
		n := int64(len(chunk))
		if unpaced >= n {
			unpaced -= n
			l.count(n)
		} else if err := l.waitTurn(c.incoming.Context(), transfer, chunk); err != nil {
			return nil, err
		} else {
			unpaced = 0
			if paced == 0 {
				telemetry.CountEvent(eventPaced, 1)
			}
			paced += n
			telemetry.CountEvent(eventPacedBytes, n)
		}
		if err := l.write(w, control, chunk); err != nil {
			return nil, err
		}
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil, nil
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
