package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// requestIDDialect is a dialect in which all attempts of a request have one id, and in which a target promises with
// 421 that it has not run the request.
type requestIDDialect struct{ defaultDialect }

const testRequestID = "X-Request"

func (d requestIDDialect) ParseRequest(r *http.Request) (RequestInfo, error) {
	info, err := d.defaultDialect.ParseRequest(r)
	info.ID = r.Header.Get(testRequestID)
	return info, err
}

func (requestIDDialect) ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo {
	v := ResponseInfo{ColdRemaining: -1, WrongAttempt: resp.Header.Get(testRequestID) != s.RequestID}
	if !v.WrongAttempt && resp.StatusCode == http.StatusMisdirectedRequest {
		v.Refusal = errkind.New(errkind.WrongOwner, "refused")
	}
	return v
}

// Guards against an earlier refusal that a target writes once more on a kept connection: the request that the target
// runs by then would be sent again, or be reported as not run.
func TestRepeatedRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	ran := make(map[string]int)
	refused := false
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go accept(l, func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		earlier := ""
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(testRequestID)
			mu.Lock()
			refuse := !refused
			refused = true
			if !refuse {
				ran[id]++
			}
			mu.Unlock()
			answer := earlier + fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", testRequestID, id)
			if refuse {
				earlier = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testRequestID, id)
				answer = earlier
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	})
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", l.Addr().String(), config.Traffic{})
	a.dialect, b.dialect = requestIDDialect{}, requestIDDialect{}
	connect(b, a, b)
	for _, n := range []*testNode{b, a} {
		mu.Lock()
		refused = false
		mu.Unlock()
		for i := range 3 {
			id := fmt.Sprintf("%s-%d", n.peer.Name, i)
			got := n.call(t, "POST", "/quotes/k", "", testRequestID, id)
			mu.Lock()
			is.Equal(ran[id], 1)
			mu.Unlock()
			is.Equal(got.status, http.StatusOK)
		}
	}
}

// Guards against a response that breaks off in its head and reaches the caller as a success, or as a request that
// has not run. Locally and over a hop.
func TestResponsesCutInTheirHead(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07.5a2\r\nContent-Length: 12\r\n\r\n"
	for _, text := range []string{head, strings.Replace(head, "Content-Length: 12", "Transfer-Encoding: chunked", 1), strings.ReplaceAll(head, "\r\n", "\n")} {
		for length := range len(text) {
			target := newRawTarget(t, func(conn net.Conn, in *bufio.Reader) {
				readHead(in)
				_, _ = io.WriteString(conn, text[:length])
			})
			a := newNode(t, "a", "", config.Traffic{})
			b := newNode(t, "b", target.Addr().String(), config.Traffic{})
			connect(b, a, b)
			for _, n := range []*testNode{b, a} {
				got := n.call(t, "POST", "/quotes/k", "x")
				is.True(got.err != nil || got.status >= 500)
				is.Equal(got.notRun == "true", false)
			}
		}
	}
}
