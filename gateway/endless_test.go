package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against responses without end: in the head they take the memory of the node, in the body they
// keep the connection, and a caller must not see them as complete. Locally and over a hop.
func TestEndlessResponses(t *testing.T) {
	for name, c := range map[string]struct {
		head, part string
		limit      time.Duration
	}{
		// The head stops short of what a bound of 1 MB would take, and the connection stays open.
		"head":        {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: "+strings.Repeat("y", 1000)+"\r\n", 500), "", time.Second},
		"head line":   {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 500<<10), "", time.Second},
		"status line": {strings.Repeat("y", 500<<10), "", time.Second},
		"1xx":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", time.Second},
		"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n", 2500 * time.Millisecond},
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "abcdefgh", 2500 * time.Millisecond},
		"trailer":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X: y\r\n", 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				readHead(in)
				_, err := io.WriteString(conn, c.head)
				part := strings.Repeat(c.part, 512)
				for err == nil && part != "" {
					_, err = io.WriteString(conn, part)
				}
				_, _ = in.ReadByte() // until the node closes
			})
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.Addr().String(), config.Traffic{})
			connect(b, a, b)
			for _, n := range []*testNode{b, a} {
				began := time.Now()
				req, err := http.NewRequest("GET", n.caller.URL+"/quotes/k", nil)
				is.NoErr(err)
				req.Header.Set("Authorization", "Bearer "+orgKey)
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err != nil {
					is.True(time.Since(began) < c.limit)
					continue // aborted before the first byte
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				is.True(time.Since(began) < c.limit)
				is.True(err != nil || resp.StatusCode >= 500) // not a complete success
				is.True(resp.Header.Get(errkind.HeaderNotRun) != "true")
			}
		})
	}
}

// refusingTarget refuses attempts once they have a slot.
type refusingTarget struct{ *testTarget }

func (refusingTarget) Begin(context.Context, api.PartitionRef, api.Epoch, string) (context.Context, func(), error) {
	return nil, nil, errkind.New(errkind.WrongOwner, "moved")
}

// Guards against a link that stays booked for bodies which were never asked for, so that later uploads
// are refused.
func TestRefusedUploadFreesTheLink(t *testing.T) {
	is := is.New(t)
	n := newNode(t, "n", "127.0.0.1:9", config.Traffic{LinkMbps: 8})
	connect(n, n)
	req, err := http.NewRequest("POST", "/orders/k", nil)
	is.NoErr(err)
	c := &call{
		incoming: req, header: http.Header{}, service: &api.Service{Name: "orders"}, ref: api.PartitionRef{Service: "orders", Partition: -1},
		body: &body{length: 400 << 10, stream: io.NopCloser(strings.NewReader(""))}, deadline: time.Now().Add(2 * time.Second),
	}
	ctx, cancel := context.WithDeadline(t.Context(), c.deadline)
	defer cancel()
	for range 3 {
		_, e := n.dispatch(ctx, n.view(), c, destination{target: n.local.info.ID}, refusingTarget{n.local}, api.NewID(), true)
		is.Equal(e.Kind, errkind.WrongOwner)
	}
	is.True(n.bodies.wait(time.Now()) < 100*time.Millisecond)
}
