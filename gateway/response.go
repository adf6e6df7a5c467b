package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
	"github.com/zinniapier/zinniapier/telemetry"
)

// copyBufferSize is the size in bytes of the buffers for copying bodies. A response of known length
// up to this size is read completely before its header is sent, so that a truncated one is reported
// as an error.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// response is the response to an attempt; its body may be unread. The caller must call finish once
// the body has been read or abandoned.
type response struct {
	resp     *http.Response
	body     io.Reader
	cleanups []func()
	done     bool
	// releaseLink returns the booking of the link of this host; nil for none. It may be called more than once.
	releaseLink func()
}

// onFinish registers a function to run when the response is finished; it runs at once if finish was
// already called.
func (a *response) onFinish(f func()) {
	if a.done {
		f()
		return
	}
	a.cleanups = append(a.cleanups, f)
}

// finish closes the body and runs the registered functions; later calls do nothing. It closes the
// connection if the body was not read to its end.
func (a *response) finish() {
	if a.done {
		return
	}
	a.done = true
	_ = a.resp.Body.Close()
	for _, f := range a.cleanups {
		f()
	}
}

// hasBody reports whether a response to the method with the status has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// endIsDetectable reports whether a complete body can be told from a broken connection.
func endIsDetectable(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || !hasBody(method, resp.StatusCode)
}

// readSmallBody reads a body of at most copyBufferSize bytes to its end, which frees the slot and
// the connection before a slow caller has received it. Errors: ShortAnswer.
func (a *response) readSmallBody(method string) *errkind.Error {
	length := a.resp.ContentLength
	if !hasBody(method, a.resp.StatusCode) || length == 0 {
		a.body = http.NoBody
		a.finish()
		return nil
	}
	if length < 0 || length > copyBufferSize {
		a.body = a.resp.Body
		return nil
	}
	buffer := make([]byte, length)
	if n, err := io.ReadFull(a.resp.Body, buffer); err != nil {
		a.finish()
		return errkind.New(errkind.ShortAnswer, "response body ended after %d of %d bytes: %v", n, length, err)
	}
	a.body = bytes.NewReader(buffer)
	a.finish()
	return nil
}

// writeResponse sends the response to the caller. If the body is truncated, it panics with
// http.ErrAbortHandler to abort the connection, so that the caller never sees a complete response.
func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, a *response) {
	method := c.incoming.Method
	defer a.finish()
	copyResponseHeader(w.Header(), a.resp.Header)
	if a.resp.ContentLength >= 0 && hasBody(method, a.resp.StatusCode) {
		w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	if c.body.pending() {
		defer keepRequestBody(w)()
	}
	w.WriteHeader(a.resp.StatusCode)
	if !hasBody(method, a.resp.StatusCode) {
		return
	}
	readErr, writeErr := g.sendBody(w, c, a)
	if readErr != nil {
		e := errkind.New(errkind.ShortAnswer, "response body ended early: %v", readErr)
		telemetry.CountRefusal(e.Kind)
		g.requests.logRefused(c.incoming, c.id, c, g.view(), e)
	}
	if readErr != nil || writeErr != nil {
		if !c.incoming.ProtoAtLeast(1, 1) && a.resp.ContentLength < 0 {
			// To an HTTP/1.0 caller, a connection that is closed in order is the end of a complete response.
			hangup.ResetOnClose(c.incoming.Context())
		}
		panic(http.ErrAbortHandler)
	}
}

// bodyLinger is how long the rest of a request body is read after its response has been sent. A connection that is
// closed with bytes unread is reset, and the sender may not have read the response yet.
const bodyLinger = 500 * time.Millisecond

// keepRequestBody leaves the request body to the attempt while its response is sent: by default, net/http discards
// what remains of it when it sends the header. The connection ends with the response. The returned function must be
// called once the response has been sent.
func keepRequestBody(w http.ResponseWriter) (done func()) {
	control := http.NewResponseController(w)
	// Writers that do not support it do not discard the body.
	_ = control.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	return func() { _ = control.SetReadDeadline(time.Now().Add(bodyLinger)) }
}

// copyBody copies the body to the caller. flush sends each read at once, for streamed responses. A
// writeErr means that the caller has disconnected.
func copyBody(w http.ResponseWriter, from io.Reader, flush bool) (readErr, writeErr error) {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	control := http.NewResponseController(w)
	for {
		n, err := from.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return nil, werr
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
		if flush {
			if ferr := control.Flush(); ferr != nil {
				return nil, ferr
			}
		}
	}
}

// remainingMs returns the whole milliseconds until the deadline, at least 1.
func remainingMs(deadline time.Time) int64 {
	return max(time.Until(deadline).Milliseconds(), 1)
}
