package daemon

import (
	"io"
	"math"
	"net/http"
)

// endingBody tells the connection when the whole body has been read, or as much of it as is held.
type endingBody struct {
	io.ReadCloser
	conn *idleConn
	// left is the number of bytes that are held.
	left int64
}

// Read implements io.Reader.
func (b *endingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if err == io.EOF || b.left <= 0 {
		b.conn.requestRead()
	}
	return n, err
}

// begin accounts for a request that is about to be handled; false if its connection has been closed to make room for others,
// so that it must not run.
func (s *HTTPService) begin(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*idleConn)
	if !ok {
		return true
	}
	switch {
	case s.wholeBodies && r.Body == http.NoBody:
		c.requestRead()
	case s.wholeBodies:
		r.Body = &endingBody{r.Body, c, math.MaxInt64}
	case s.heldBody > 0 && r.Body != http.NoBody && r.ContentLength <= s.heldBody:
		held := r.ContentLength
		if held < 0 {
			held = s.heldBody
		}
		r.Body = &endingBody{r.Body, c, held}
		if !c.hold(held) {
			return false
		}
	}
	return c.begin()
}
