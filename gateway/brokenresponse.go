package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"syscall"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
)

// Read implements net.Conn. The end of the connection is reported as an end only if its peer has ended it in order: a body
// without a length ends with the connection, and after a reset during an upload the write takes the error of the socket.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !hangup.EndedInOrder(c.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// isFinalStatus reports whether a response with the status can be passed on: net/http reads any number of three digits, and
// sends none below 100.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }

// endsWithConnection reports whether the body of the response has neither a length nor chunks, so that its end is that of the
// connection.
func endsWithConnection(method string, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(method, resp.StatusCode)
}

// readFirstPart reads the first part of a body that ends with its connection, so that a reset before it is reported as an
// error. The header is sent with the first part of the body in any case. Errors: ShortAnswer.
func (a *response) readFirstPart() *errkind.Error {
	buffer := make([]byte, copyBufferSize)
	n, err := a.resp.Body.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		a.finish()
		return errkind.New(errkind.ShortAnswer, "response body without a length ended after %d bytes: %v", n, err)
	}
	a.body = io.MultiReader(bytes.NewReader(buffer[:n]), a.resp.Body)
	return nil
}

// abortResponse ends the connection of a caller that has received part of a response. For a caller of HTTP/1.0 the end of the
// connection is the end of the response, unless it is a reset.
func abortResponse(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		hangup.ResetOnClose(r.Context())
	}
	panic(http.ErrAbortHandler)
}
