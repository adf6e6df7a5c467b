package client

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// bufferedBody is the largest request body in bytes that can be sent to a second node.
const bufferedBody = 64 << 10

// Do sends the request to the owner's node, or to any node when the owner's is not known.
// Scheme and host of its URL are set by the client; the request itself is not changed. A
// request is sent to another node when it certainly has not run: no connection was
// obtained, or the refusal says not run. After any other failure only an idempotent
// request is repeated. Refusals come back as answers; see errkind.HeaderKind.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	payload, err := newPayload(req)
	if err != nil {
		return nil, err
	}
	if c.MapVersion() == 0 {
		c.refreshSoon()
	}
	node := c.current.Load().owner(req)
	for left := c.options.Attempts; ; left-- {
		if node == "" {
			node = c.anyNode()
		}
		resp, sent, err := c.send(req, payload, node)
		if left <= 1 || !payload.again() || !c.mayRepeat(req, resp, sent, err) {
			return resp, err
		}
		discard(resp)
		node = c.another(node)
	}
}

// mayRepeat reports whether the request may go to another node.
func (c *Client) mayRepeat(req *http.Request, resp *http.Response, sent bool, err error) bool {
	if req.Context().Err() != nil {
		return false
	}
	if err != nil {
		c.refreshSoon()
		return !sent || c.current.Load().idempotent(req)
	}
	kind := errkind.Kind(resp.Header.Get(errkind.HeaderKind))
	if kind == errkind.WrongOwner || kind == errkind.NoOwner {
		c.refreshSoon()
	}
	return kind.Valid() && kind.Answer().Retryable && resp.Header.Get(errkind.HeaderNotRun) == "true"
}

// another returns a node other than the failed one when there is one.
func (c *Client) another(failed string) string {
	node := c.anyNode()
	if node == failed {
		node = c.anyNode()
	}
	return node
}

// send sends the request to one node. sent says that it may have reached the node.
func (c *Client) send(req *http.Request, p *payload, node string) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out := req.Clone(httptrace.WithClientTrace(req.Context(), trace))
	out.URL.Scheme = c.options.Scheme
	out.URL.Host = node
	routematch.Forward(out.URL, req.URL)
	out.GetBody = nil
	out.Body = p.open(c.current.Load().idempotent(req))
	c.authorise(out)
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, sent.Load(), errors.Annotatef(err, "node %s", node)
	}
	c.noteVersion(resp.Header)
	return resp, true, nil
}

func discard(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, bufferedBody)
	_ = resp.Body.Close()
}

// payload is the body of a request, kept when it is small.
type payload struct {
	none   bool
	buffer []byte
	stream io.ReadCloser
	used   bool
}

func newPayload(req *http.Request) (*payload, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return &payload{none: true}, nil
	}
	if req.ContentLength <= 0 || req.ContentLength > bufferedBody {
		return &payload{stream: req.Body}, nil
	}
	defer req.Body.Close()
	buffer := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, buffer); err != nil {
		return nil, errors.Annotate(err, "read the request body")
	}
	return &payload{buffer: buffer}, nil
}

// open returns the body for one attempt, in a type that net/http cannot rewind: the
// transport must not resend a request by itself.
func (p *payload) open(idempotent bool) io.ReadCloser {
	if p.none && idempotent {
		return http.NoBody
	}
	if p.stream != nil {
		p.used = true
		return p.stream
	}
	return &onceReader{Reader: bytes.NewReader(p.buffer)}
}

// again reports whether the body can be sent once more. A stream may have been read in part.
func (p *payload) again() bool { return p.stream == nil || !p.used }

type onceReader struct{ io.Reader }

// Close implements io.Closer.
func (*onceReader) Close() error { return nil }
