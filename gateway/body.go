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

const (
	// maxSmallBody is the largest request body in bytes that is always read before routing, so that the request can be
	// routed again.
	maxSmallBody = 64 << 10
	// maxBufferedBody is the same for larger bodies of requests that have a token, as far as there is memory for them. The
	// end of a connection stands behind a body that is larger than its window.
	maxBufferedBody = 512 << 10
	// maxBodyMemory limits the memory in bytes for bodies that are not small.
	maxBodyMemory = 16 << 20
)

// body is the body of a caller's request. A buffered body is in buffer; a larger one continues in
// stream.
type body struct {
	length      int64 // -1 if unknown
	buffer      []byte
	stream      io.Reader // nil if the buffer is the whole body
	streamRead  atomic.Bool
	streamEnded atomic.Bool // the stream has been read to its end
	// streamFailed is set if a read of the stream failed for a reason on the side of its sender.
	streamFailed atomic.Bool
	// unblockRead ends a pending read of the stream.
	unblock func()
	// release returns the memory of the buffer; nil for a small body.
	release func()
}

// bodyMemory is the memory for bodies that are not small.
type bodyMemory struct{ used atomic.Int64 }

// reserve books memory for a body and reports whether there was enough. The returned function must be called once.
func (m *bodyMemory) reserve(bytes int64) (release func(), ok bool) {
	if m.used.Add(bytes) > maxBodyMemory {
		m.used.Add(-bytes)
		return nil, false
	}
	return func() { m.used.Add(-bytes) }, true
}

// readBody buffers a small body, and wraps a larger one as a stream. Errors: TooLarge, BadRequest, DeadlineExceeded if it has
// not arrived by the read deadline of the connection.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &body{}, nil
	}
	if err := checkBodyLength(r.ContentLength, limit); err != nil {
		return nil, err
	}
	b := &body{length: r.ContentLength, stream: http.MaxBytesReader(w, r.Body, limit), unblock: readUnblocker(w)}
	return b, b.fill(maxSmallBody)
}

// checkBodyLength checks the stated length of a body. Errors: TooLarge.
func checkBodyLength(length, limit int64) error {
	if length > limit {
		return errkind.New(errkind.TooLarge, "body of %d bytes exceeds the limit of %d bytes", length, limit)
	}
	return nil
}

// readOn buffers the rest of a body that is not small, as far as there is memory, and unless its sender holds it back. Errors
// as those of readBody.
func (b *body) readOn(r *http.Request, memory *bodyMemory) error {
	needed := b.length
	if needed < 0 {
		needed = maxBufferedBody
	}
	if b.stream == nil || needed > maxBufferedBody || r.Header.Get("Expect") != "" {
		return nil
	}
	var ok bool
	if b.release, ok = memory.reserve(needed); !ok {
		return nil
	}
	return b.fill(maxBufferedBody)
}

// fill reads the stream into the buffer, up to the size in bytes; a body of known length that is larger is left alone.
func (b *body) fill(size int64) error {
	if b.length > size {
		return nil
	}
	if b.length >= 0 {
		size = b.length
	}
	have := len(b.buffer)
	buffer := make([]byte, size)
	copy(buffer, b.buffer)
	n, err := io.ReadFull(b.stream, buffer[have:])
	b.buffer = buffer[:have+n]
	switch {
	case err == nil && b.length < 0:
		return nil
	case err == nil:
		b.stream = nil
		return nil
	case b.length < 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		b.length, b.stream = int64(len(b.buffer)), nil
		return nil
	}
	return bodyError(err)
}

// done returns the memory of the body.
func (b *body) done() {
	if b.release != nil {
		b.release()
	}
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

// small reports whether the body is at hand and cheap to send twice.
func (b *body) small() bool { return b.stream == nil && len(b.buffer) <= maxSmallBody }

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
	if err != nil && !errors.Is(err, io.EOF) {
		a.body.streamFailed.Store(true)
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
