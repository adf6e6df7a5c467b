package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
)

const (
	earlyUploadSize   = maxBufferedBody + 156<<10 // streamed to the target
	earlyUploadAtOnce = maxBufferedBody + 36<<10
	earlyUploadPiece  = 8 << 10
	// earlyReadSize is how much of an upload the target reads before it answers.
	earlyReadSize = 16 << 10
)

// received is what a target has read of an upload.
type received struct {
	text string
	err  error // nil if the body ended as a whole one
}

// newEarlyTarget returns a target that sends head after the first part of an upload, reads on, and ends the
// response, if it is in chunks, once the upload is in.
func newEarlyTarget(t *testing.T, head string) (*rawTarget, <-chan received) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan received, 1)
	go accept(l, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			first, _ := io.ReadAll(io.LimitReader(req.Body, earlyReadSize))
			_, _ = io.WriteString(conn, head)
			rest, err := io.ReadAll(req.Body)
			got <- received{string(first) + string(rest), err}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	return &rawTarget{Listener: l}, got
}

// sendSlowUpload sends an upload in pieces and returns the response once it is complete.
func sendSlowUpload(t *testing.T, address, upload string, chunked bool) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	go sendInPieces(conn, upload, earlyUploadAtOnce, earlyUploadPiece, 2*time.Millisecond, chunked)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// sendInPieces sends an upload, a part of it at once and the rest in pieces with pauses, until it is sent or the connection is
// closed.
func sendInPieces(conn net.Conn, upload string, atOnce, size int, pause time.Duration, chunked bool) {
	framing := fmt.Sprintf("Content-Length: %d", len(upload))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(conn, "POST /orders/k HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", orgKey, framing)
	for at, next := 0, atOnce; at < len(upload); next = size {
		piece := upload[at:min(at+next, len(upload))]
		at += len(piece)
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(pause)
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// Guards against uploads that reach a target with parts missing because it has begun to respond before they were in.
// Locally and over a hop, with a length and in chunks.
func TestUploadStaysWholeWhenTheResponseBeginsEarly(t *testing.T) {
	const tooLargeBody = 60 << 10
	responses := map[string]string{
		"begun":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
		"rejected": fmt.Sprintf("HTTP/1.1 413 Too Large\r\nContent-Length: %d\r\n\r\n%s", tooLargeBody, strings.Repeat("x", tooLargeBody)),
		"short":    "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno",
	}
	var b strings.Builder
	for b.Len() < earlyUploadSize {
		fmt.Fprintf(&b, "<%014x>", b.Len())
	}
	upload := b.String()
	for name, head := range responses {
		for _, hop := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/hop=%t/chunked=%t", name, hop, chunked), func(t *testing.T) {
					is := is.New(t)
					target, got := newEarlyTarget(t, head)
					owner := newNode(t, "a", target.Addr().String(), config.Traffic{})
					entry := owner
					nodes := []*testNode{owner}
					if hop {
						entry = newNode(t, "b", "", config.Traffic{})
						nodes = append(nodes, entry)
					}
					connect(nil, nodes...)
					resp, err := sendSlowUpload(t, entry.peer.CallerAddr, upload, chunked)
					is.NoErr(err)
					is.Equal(resp.StatusCode == http.StatusOK, name == "begun")
					r := <-got
					is.True(strings.HasPrefix(upload, r.text))
					is.True(r.err != nil || r.text == upload)
					if name == "begun" {
						is.NoErr(r.err)
					}
				})
			}
		}
	}
}
