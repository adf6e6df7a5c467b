package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// copySize is the size in bytes of the buffers for bodies. An answer of known length up to
// this size is read whole before its header is sent, so that a truncated one becomes a
// proper error.
const copySize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copySize)
	return &b
}}

// answer is the answer to an attempt whose body may still have to be read. finish must be
// called once the body has been read or given up.
type answer struct {
	resp  *http.Response
	body  io.Reader
	ended []func()
	done  bool
}

// onFinish adds a function that runs when the answer is finished, at once if it already is.
func (a *answer) onFinish(f func()) {
	if a.done {
		f()
		return
	}
	a.ended = append(a.ended, f)
}

// finish releases what the attempt holds; later calls do nothing. A connection whose body
// has not been read to its end is closed by this.
func (a *answer) finish() {
	if a.done {
		return
	}
	a.done = true
	_ = a.resp.Body.Close()
	for _, f := range a.ended {
		f()
	}
}

// hasBody says whether an answer to the method with the status has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// verifiable says whether the end of the body can be told from a broken connection.
func verifiable(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || !hasBody(method, resp.StatusCode)
}

// prefetch reads a small body to its end, and so frees the slot and the connection before
// a slow caller has taken it. Errors: ShortAnswer.
func (a *answer) prefetch(method string) *errkind.Error {
	length := a.resp.ContentLength
	if !hasBody(method, a.resp.StatusCode) || length == 0 {
		a.body = http.NoBody
		a.finish()
		return nil
	}
	if length < 0 || length > copySize {
		a.body = a.resp.Body
		return nil
	}
	buffer := make([]byte, length)
	if n, err := io.ReadFull(a.resp.Body, buffer); err != nil {
		a.finish()
		return errkind.New(errkind.ShortAnswer, "answer ended after %d of %d bytes: %v", n, length, err)
	}
	a.body = bytes.NewReader(buffer)
	a.finish()
	return nil
}

// deliver passes the answer on. An answer that turns out to be truncated aborts the
// connection by a panic with http.ErrAbortHandler, so that it never looks complete.
func (g *Gateway) deliver(w http.ResponseWriter, c *call, a *answer) {
	method := c.in.Method
	defer a.finish()
	copyAnswerHeader(w.Header(), a.resp.Header)
	if a.resp.ContentLength >= 0 && hasBody(method, a.resp.StatusCode) {
		w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	w.WriteHeader(a.resp.StatusCode)
	if !hasBody(method, a.resp.StatusCode) {
		return
	}
	readErr, writeErr := copyBody(w, a.body, a.resp.ContentLength < 0)
	if readErr != nil {
		e := errkind.New(errkind.ShortAnswer, "answer ended early: %v", readErr)
		telemetry.CountRefusal(e.Kind)
		g.requests.failed(c.in, c.id, c, g.view(), e)
	}
	if readErr != nil || writeErr != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies to the caller; flush sends each piece at once, for answers that are
// streamed. writeErr means that the caller has gone.
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
func remainingMs(deadline time.Time) string {
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
