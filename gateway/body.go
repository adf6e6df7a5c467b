package gateway

import (
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// maxBufferedBody is the largest request body in bytes that is read before routing, so that the
// request can be routed again.
const maxBufferedBody = 64 << 10

// body is the body of a caller's request. A small body is in buffer; a larger one continues in
// stream.
type body struct {
	length      int64 // -1 if unknown
	buffer      []byte
	stream      io.Reader // nil if the buffer is the whole body
	streamRead  atomic.Bool
	streamEnded atomic.Bool // the stream has been read to its end
	// unblockRead ends a pending read of the stream.
	unblock func()
}

// readBody buffers a small body and wraps a large one as a stream. Errors: TooLarge, BadRequest.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if r.ContentLength > limit {
		return nil, errkind.New(errkind.TooLarge, "body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength > maxBufferedBody {
		return &body{length: r.ContentLength, stream: limited, unblock: readUnblocker(w)}, nil
	}
	b, err := bufferBody(limited, r.ContentLength)
	if err == nil && b.stream != nil {
		b.unblock = readUnblocker(w)
	}
	return b, err
}

// readUnblocker returns a function that ends pending reads of the request body. The connection
// cannot serve another request afterwards.
func readUnblocker(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	return func() {
		// Some writers do not support deadlines; the read then ends with the connection.
		_ = control.SetReadDeadline(time.Now())
	}
}

// interruptRead ends a pending read of the body. RoundTrip returns only once the body is no longer
// being read, so an attempt would outlast its deadline if the sender stalls. A body of which
// nothing was read can still be sent to another target and is left alone.
func (b *body) interruptRead() {
	if b.unblock != nil && b.partlyRead() {
		b.unblock()
	}
}

// asked reports whether any of the stream has been read, so that its sender was asked for it.
func (b *body) asked() bool { return b.streamRead.Load() }

// pending reports whether part of the body may still be on its way from its sender.
func (b *body) pending() bool { return b.stream != nil && !b.streamEnded.Load() }

// partlyRead reports whether the stream has been started but not read to its end.
func (b *body) partlyRead() bool { return b.streamRead.Load() && !b.streamEnded.Load() }

func bufferBody(from io.Reader, length int64) (*body, error) {
	size := length
	if size < 0 {
		size = maxBufferedBody
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
		return errkind.New(errkind.TooLarge, "body exceeds the limit of %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errkind.New(errkind.DeadlineExceeded, "request body did not arrive in time")
	}
	return errkind.New(errkind.BadRequest, "request body ended early: %v", err)
}

// largeBodySize is the length in bytes from which a body is sent over a hop only when the receiving
// node asks for it.
const largeBodySize = 16 << 10

// large reports whether the body is of unknown length or has at least largeBodySize bytes.
func (b *body) large() bool { return b.length < 0 || b.length >= largeBodySize }

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.stream == nil || !b.streamRead.Load() }

// open returns the body for one attempt. net/http cannot rewind its type, so the transport never
// sends the body again by itself. For an empty body of an idempotent request it returns
// http.NoBody.
func (b *body) open(idempotent bool) io.ReadCloser {
	if b.stream == nil && len(b.buffer) == 0 && idempotent {
		return http.NoBody
	}
	return &attemptBody{body: b}
}

// attemptBody reads the body for one attempt: first the buffer, then the stream. After Close it
// reads nothing, so that a transport still writing an abandoned attempt cannot consume the bytes of
// the next one.
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
		a.body.streamEnded.Store(true)
	}
	if a.isClosed() {
		// The server may have discarded bytes before these.
		return 0, io.ErrClosedPipe
	}
	return n, err
}

func (a *attemptBody) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
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
	a.body.streamRead.Store(true)
	return 0, a.body.stream, nil
}

// Close implements io.Closer.
func (a *attemptBody) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return nil
}
