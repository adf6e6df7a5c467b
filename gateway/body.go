package gateway

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// bufferedBody is the largest request body in bytes that is read before routing, so that
// the request can be routed again.
const bufferedBody = 64 << 10

// body is the body of a caller's request.
type body struct {
	length int64 // -1 when not known
	buffer []byte
	stream io.Reader // nil when the buffer is the whole body
	taken  atomic.Bool
	whole  atomic.Bool // the stream has been read to its end
	// unblock ends a read of the stream that waits for its sender.
	unblock func()
}

// readBody buffers a small body and wraps a large one. Errors: TooLarge, BadRequest.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > limit {
		return nil, errkind.New(errkind.TooLarge, "body of %d bytes, limit %d", r.ContentLength, limit)
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > bufferedBody {
		return &body{length: r.ContentLength, stream: limited, unblock: unblocker(w)}, nil
	}
	b, err := bufferBody(limited, r.ContentLength)
	if err == nil && b.stream != nil {
		b.unblock = unblocker(w)
	}
	return b, err
}

// unblocker returns a function that ends reads of the request's body. The connection cannot be used
// for another request afterwards.
func unblocker(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	return func() {
		// Not all writers know deadlines; then the read ends with the connection.
		_ = control.SetReadDeadline(time.Now())
	}
}

// interrupt ends a read that waits for the sender of the body. net/http returns from an attempt only
// once its body is no longer read, so without it an attempt outlasts its deadline where the sender is
// silent. A body that nothing was taken of can still be sent elsewhere and is left alone.
func (b *body) interrupt() {
	if b.unblock != nil && b.stuck() {
		b.unblock()
	}
}

// stuck says whether a part of the body was sent on and the rest has not come.
func (b *body) stuck() bool { return b.taken.Load() && !b.whole.Load() }

func bufferBody(from io.Reader, length int64) (*body, error) {
	size := length
	if size < 0 {
		size = bufferedBody
	}
	buffer := make([]byte, size)
	n, err := io.ReadFull(from, buffer)
	switch {
	case err == nil && length >= 0:
		return &body{length: length, buffer: buffer}, nil
	case err == nil:
		return &body{length: -1, buffer: buffer, stream: from}, nil
	case length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		return &body{length: int64(n), buffer: buffer[:n]}, nil
	}
	return nil, bodyError(err)
}

func bodyError(err error) *errkind.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "body beyond %d bytes", tooLarge.Limit)
	}
	return errkind.New(errkind.BadRequest, "body ended early: %v", err)
}

// largeBody is the length in bytes from which a body crosses a link only once it is wanted there.
const largeBody = 16 << 10

// large says whether the body weighs more on a link than the request and its answer.
func (b *body) large() bool { return b.length < 0 || b.length >= largeBody }

// replayable says whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.stream == nil || !b.taken.Load() }

// open returns the body for one attempt. Its type has no rewind that net/http knows, so
// the transport never sends it again by itself. An empty body of a request that may be
// repeated is NoBody.
func (b *body) open(idempotent bool) io.ReadCloser {
	if b.stream == nil && len(b.buffer) == 0 && idempotent {
		return http.NoBody
	}
	return &attemptBody{body: b}
}

// attemptBody reads the body for one attempt: the buffer, then the stream. After Close it
// reads nothing more, so that a transport that is still writing an abandoned attempt
// cannot take bytes from the next one.
type attemptBody struct {
	body *body

	mu     sync.Mutex
	offset int
	closed bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	n, stream, err := a.next(p)
	if stream == nil {
		return n, err
	}
	n, err = stream.Read(p)
	if errors.Is(err, io.EOF) {
		a.body.whole.Store(true)
	}
	return n, err
}

// next copies from the buffer, or returns the stream once the buffer has been read.
func (a *attemptBody) next(p []byte) (int, io.Reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, nil, io.ErrClosedPipe
	}
	if a.offset < len(a.body.buffer) {
		n := copy(p, a.body.buffer[a.offset:])
		a.offset += n
		return n, nil, nil
	}
	if a.body.stream == nil {
		return 0, nil, io.EOF
	}
	a.body.taken.Store(true)
	return 0, a.body.stream, nil
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return nil
}
