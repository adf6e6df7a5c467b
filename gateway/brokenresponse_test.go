package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// ownAndHop returns a node beside the target, and another one that reaches it over a hop.
func ownAndHop(t *testing.T, target net.Listener) map[string]*testNode {
	t.Helper()
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", target.Addr().String(), config.Traffic{})
	connect(b, a, b)
	return map[string]*testNode{"own": b, "hop": a}
}

// reset closes a connection with a reset in place of an end.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against part of a response without a length that is taken for all of it, since the write of the upload has learnt of
// the reset before the read. Locally and over a hop.
func TestResetDuringUploadIsNoEndOfTheResponse(t *testing.T) {
	const uploads = 40
	target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
		readHead(in)
		_, _ = io.CopyN(io.Discard, in, earlyReadSize)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of it")
		time.Sleep(20 * time.Millisecond) // the upload fills the window meanwhile
		reset(conn)
	})
	for name, n := range ownAndHop(t, target) {
		t.Run(name, func(t *testing.T) {
			var calls sync.WaitGroup
			var complete atomic.Int64
			for range uploads {
				calls.Go(func() {
					if resp, err := sendLongUpload(n.peer.CallerAddr); err == nil && resp.StatusCode == http.StatusOK {
						complete.Add(1)
					}
				})
			}
			calls.Wait()
			if complete.Load() > 0 {
				t.Errorf("%d of %d truncated responses looked complete", complete.Load(), uploads)
			}
		})
	}
}

// sendLongUpload sends an upload until the connection ends, and returns the response with an error if its body is incomplete.
func sendLongUpload(address string) (*http.Response, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	go sendInPieces(conn, strings.Repeat("x", 16<<20), 16<<20, 1, 0, false)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against a truncated response that looks complete to a caller of HTTP/1.0, whose responses end with the connection.
func TestTruncatedResponseIsResetForOldCallers(t *testing.T) {
	for name, text := range map[string]string{
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart",
		"no chunk": "HTTP/1.1 200 OK\r\n\r\npart",
	} {
		target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
			readHead(in)
			_, _ = io.WriteString(conn, text)
			time.Sleep(20 * time.Millisecond)
			reset(conn)
		})
		for at, n := range ownAndHop(t, target) {
			t.Run(name+"/"+at, func(t *testing.T) {
				is := is.New(t)
				conn, err := net.Dial("tcp", n.peer.CallerAddr)
				is.NoErr(err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET /quotes/k HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", orgKey)
				is.NoErr(err)
				got, err := io.ReadAll(conn)
				is.True(err != nil || !strings.Contains(string(got), " 200 OK")) // reset, or refused
			})
		}
	}
}

// Guards against the refusal of a complete response that has no length and ends with its connection, small and large, and
// against a reset that is taken for its end. Locally and over a hop.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for _, size := range []int{0, 10, 300 << 10} {
			for _, regular := range []bool{true, false} {
				text := strings.Repeat("x", size)
				target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
					readHead(in)
					_, _ = io.WriteString(conn, "HTTP/"+version+" 200 OK\r\n\r\n"+text)
					if !regular {
						time.Sleep(20 * time.Millisecond)
						reset(conn)
					}
				})
				for name, n := range ownAndHop(t, target) {
					t.Run(fmt.Sprintf("%s/%s/%d/regular=%t", name, version, size, regular), func(t *testing.T) {
						is := is.New(t)
						got := n.call(t, "GET", "/quotes/k", "")
						if !regular {
							is.True(got.err != nil || got.kind == errkind.ShortAnswer)
							is.True(got.notRun != "true")
							return
						}
						is.NoErr(got.err)
						is.Equal(got.status, http.StatusOK)
						is.True(got.body == text)
					})
				}
			}
		}
	}
}

// Guards against responses with a status that is none: they reached the caller, or ended its connection without a response.
// From the target, over a hop, and from another node.
func TestStatusOutsideOfHTTPIsRefused(t *testing.T) {
	// The last ones are malformed for net/http, or announce a response that does not come. A node whose head is malformed is
	// lost, and the fate query decides.
	const readable = 7
	for i, status := range []string{"000", "001", "099", "+20", "101", "600", "999", "100", "199", "20", "2000", "abc", "-10"} {
		target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
			id := attemptOf(in)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 2\r\nZinnia-Attempt: %s\r\n\r\nok", status, id)
		})
		nodes := ownAndHop(t, target)
		other := newNode(t, "c", "", config.Traffic{})
		nodes["own"].peer.InternalAddr = target.Addr().String() // the target in place of the owner's node, for the other one
		connect(nodes["own"], other, nodes["own"])
		if i < readable {
			nodes["node"] = other
		}
		for name, n := range nodes {
			t.Run(name+"/"+status, func(t *testing.T) {
				is := is.New(t)
				got := n.call(t, "POST", "/quotes/k", "x")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadGateway)
				is.Equal(got.kind, errkind.Unknown)
				is.Equal(got.notRun, "false")
			})
		}
	}
}

// attemptOf skips the rest of a request's header and returns the id of its attempt.
func attemptOf(in *bufio.Reader) (id string) {
	for {
		line, err := in.ReadString('\n')
		if err != nil || line == "\r\n" {
			return id
		}
		if value, found := strings.CutPrefix(line, "Zinnia-Attempt: "); found {
			id = strings.TrimSpace(value)
		}
	}
}
