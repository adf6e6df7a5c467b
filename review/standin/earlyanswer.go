package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

const (
	// uploadSize is the size of each upload in bytes.
	uploadSize = 220 << 10
	// uploadAtOnce is what the client sends at once; the rest follows in pieces.
	uploadAtOnce = 100 << 10
	uploadPiece  = 2 << 10
	uploads      = 40
	pieceEvery   = 2 * time.Millisecond
	// answerLines is the number of lines in an answer.
	answerLines = 2000
	// pathBegun is the path of the uploads whose answer is begun early and ended when they are in; those of the other
	// path are rejected early.
	pathBegun    = "/plans/begun"
	pathRejected = "/plans/rejected"
)

// upload returns a body in which each block of 16 bytes names its position.
func upload() string {
	var b strings.Builder
	for at := 0; at < uploadSize; at += 16 {
		fmt.Fprintf(&b, "<%014x>", at)
	}
	return b.String()
}

// earlyEndpoint answers some uploads before it has read them, keeps the connection and reads on.
type earlyEndpoint struct {
	*endpoint
	early    bool
	body     string
	answered atomic.Int64

	mu    sync.Mutex
	wrong map[string]string // by id of the request
	// wrongWhole counts the wrong bodies that ended as whole ones do.
	wrongWhole int
}

// serveConn serves one request after the other on a connection.
func (e *earlyEndpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 4<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		e.m.d.record.add(e.id, "runs %s %s %s, length %d", id, req.Method, req.URL.Path, req.ContentLength)
		early := e.early && (req.ContentLength < 0 || req.ContentLength > 64<<10)
		var data []byte
		if early {
			data, _ = io.ReadAll(io.LimitReader(req.Body, 16<<10))
			e.answered.Add(1)
			e.m.d.record.add(e.id, "answers %s after %d bytes, and reads on", id, len(data))
		}
		begun := early && req.URL.Path == pathBegun
		switch {
		case begun:
			e.beginAnswer(conn, id)
		case early:
			e.respond(conn, id, 413)
		}
		rest, err := io.ReadAll(req.Body)
		data = append(data, rest...)
		e.compare(id, data, err)
		if err != nil {
			return
		}
		switch {
		case begun:
			e.endAnswer(conn, id, len(data))
		case !early:
			time.Sleep(20 * time.Millisecond)
			e.respond(conn, id, 200)
		}
	}
}

// respond sends an answer with a length.
func (e *earlyEndpoint) respond(conn net.Conn, id string, status int) {
	body := strings.Repeat("answer to "+id+"\n", answerLines)
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", e.head(id, status), len(body), body)
}

// beginAnswer sends the head and the first chunk of an answer.
func (e *earlyEndpoint) beginAnswer(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%s", e.head(id, 200), chunk("reading "+id+"\n"))
}

// endAnswer sends the last chunk.
func (e *earlyEndpoint) endAnswer(conn net.Conn, id string, size int) {
	_, _ = fmt.Fprintf(conn, "%s0\r\n\r\n", chunk(fmt.Sprintf("%s has been read, %d bytes\n", id, size)))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (e *earlyEndpoint) head(id string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: signed-%s\r\n", status, http.StatusText(status), id, e.id)
}

// compare looks for bytes that are not those of the upload.
func (e *earlyEndpoint) compare(id string, got []byte, err error) {
	ends := "ends as a whole"
	if err != nil {
		ends = fmt.Sprintf("breaks off (%v)", err)
	}
	for at := range got {
		if at < len(e.body) && got[at] == e.body[at] {
			continue
		}
		text := fmt.Sprintf("%s: at byte %d of the body comes %q, due is %q; it %s after %d bytes", id, at,
			got[at:min(at+16, len(got))], e.body[min(at, len(e.body)):min(at+16, len(e.body))], ends, len(got))
		e.m.d.record.add(e.id, "WRONG %s", text)
		e.mu.Lock()
		e.wrong[id] = text
		if err == nil {
			e.wrongWhole++
		}
		e.mu.Unlock()
		return
	}
	e.m.d.record.add(e.id, "has read %s as sent; it %s after %d bytes", id, ends, len(got))
}

// earlyAnswer sends uploads to an endpoint that answers long ones before they are in.
func earlyAnswer(r *record, trouble bool) (int, string) {
	rules := []rule{{name: "r-plans", prefix: "/plans/", kind: "upload", service: "estimating", timeout: "2000ms", latency: "800ms"}}
	d, err := newDeployment(r, "estimating", "portal")
	if err != nil {
		return cannotRun, err.Error()
	}
	defer d.stop()
	if err := d.startAll(); err != nil {
		return cannotRun, err.Error()
	}
	e := &earlyEndpoint{endpoint: newEndpoint(d.nodes[0], new(runs), false), early: trouble, body: upload(), wrong: make(map[string]string)}
	l, err := net.Listen("tcp", d.nodes[0].address(portApp))
	if err != nil {
		return cannotRun, err.Error()
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannotRun, err.Error()
	}
	if err := e.startOn(unused, http.NotFoundHandler()); err != nil {
		return cannotRun, err.Error()
	}
	defer e.exit()
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serveConn(conn)
		}
	}()
	status, _ := d.orderAny(25*time.Second, "PUT", "/-/configuration", "00000000", configuration(5, rules, map[string]bool{"estimating": false, "portal": true}), d.cores...)
	if status != 200 {
		return cannotRun, "the first configuration is not acknowledged"
	}
	if err := d.awaitServed(request{method: "POST", path: "/plans/x", body: e.body[:1024]}); err != nil {
		return cannotRun, err.Error()
	}
	var succeeded []string
	for n := range uploads {
		path := []string{pathBegun, pathRejected}[n/2%2]
		if id, status := d.sendUpload(d.nodes[n%2], path, e.body, n/4%2 == 0); status == 200 {
			succeeded = append(succeeded, id)
		}
	}
	time.Sleep(500 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	wrongSuccess, example := 0, ""
	for _, id := range succeeded {
		if text := e.wrong[id]; text != "" {
			wrongSuccess, example = wrongSuccess+1, text
		}
	}
	summary := fmt.Sprintf("of %d uploads, %d of which the endpoint answered early, it got other bytes than were sent in %d, and in %d of these it got a whole body; clients got 200 and a whole answer for %d, %d of them with other bytes",
		uploads, e.answered.Load(), len(e.wrong), e.wrongWhole, len(succeeded), wrongSuccess)
	if len(e.wrong) > 0 {
		return broken, summary + "; " + example
	}
	return held0, summary
}

// sendUpload sends an upload in pieces, with a length or in chunks, and returns its id and the status of
// the answer, 0 for none or one that is not whole.
func (d *deployment) sendUpload(m *machine, path, body string, chunked bool) (string, int) {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	conn, err := net.Dial("tcp", m.address(portOutbound))
	if err != nil {
		return id, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			d.record.add("client", "%s has no answer: %v", id, err)
			status <- 0
			return
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			resp.StatusCode = 0 // not a whole answer
		}
		d.record.add("client", "%s gets %d with %d bytes, %v", id, resp.StatusCode, len(text), err)
		status <- resp.StatusCode
	}()
	d.record.add("client", "%s POST %s, %d bytes in pieces, in chunks: %t, to %s", id, path, len(body), chunked, m.name)
	framing, piece, last := "Content-Length: "+strconv.Itoa(len(body)), func(text string) string { return text }, ""
	if chunked {
		framing, piece, last = "Transfer-Encoding: chunked", chunk, "0\r\n\r\n"
	}
	head := "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\nKey: " + apiKey +
		"\r\n" + framing + "\r\n\r\n"
	_, err = io.WriteString(conn, head+piece(body[:uploadAtOnce]))
	for at := uploadAtOnce; at < len(body) && err == nil; at += uploadPiece {
		time.Sleep(pieceEvery)
		_, err = io.WriteString(conn, piece(body[at:min(at+uploadPiece, len(body))]))
	}
	_, _ = io.WriteString(conn, last)
	return id, <-status
}
