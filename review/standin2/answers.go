package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["unsigned"] = unsigned }

// answerTime is how long requests are sent while endpoints are in trouble.
const answerTime = 5500 * time.Millisecond

// spoilEvery is the number of answers of which one is spoiled: x = 0.02 of them.
const spoilEvery = 50

// bare is a response that bears neither the id of a request nor a signature.
const bare = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n0000000000000000000000000000000000000000"

// unsigned has endpoints hand out wrong bytes with one of fifty answers. By turns, the head of the answer has lost its lines
// but the status and the length, and the body is not that of the endpoint; or the answer is whole, and such bytes follow it
// late, at the point where the next answer is expected.
func unsigned(w *world, trouble bool) (bool, error) {
	if err := w.up(); err != nil {
		return false, err
	}
	if trouble {
		var n atomic.Int64
		for _, e := range w.endpoints[6:] {
			e.setAnswer(func(rw http.ResponseWriter, r *http.Request, ran func()) bool {
				switch n.Add(1) % (2 * spoilEvery) {
				case 0:
					ran()
					w.rec.note("endpoint spoils an answer", "request", r.Header.Get("Request-Id"))
					writeRaw(rw, bare)
					return true
				case spoilEvery:
					ran()
					e.answerWithExtra(rw, r)
					return true
				}
				return false
			})
		}
	}
	stop := make(chan struct{})
	time.AfterFunc(answerTime, func() { close(stop) })
	answers := w.load(60, stop, func(m *machine, _ int) answer {
		return w.attempt(m, http.MethodPost, pathAssign+"x", -1, "one", time.Second)
	})
	wrong := 0
	for _, a := range answers {
		if a.status/100 == 2 && a.header.Get("Response-Signature") != signature(a.id, a.body) {
			w.rec.note("a success without the signature of the endpoint", "request", a.id, "status", a.status, "body", fmt.Sprintf("%.60q", a.body))
			wrong++
		}
	}
	w.rec.note("judged", "answers", len(answers), "wrong", wrong)
	return wrong > 0, nil
}

// writeRaw writes bytes in place of a response and closes the connection.
func writeRaw(rw http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
}

// answerWithExtra answers a request and keeps the connection. When the next request is in, it sends additional bytes, and
// then the answer to that request.
func (e *endpoint) answerWithExtra(rw http.ResponseWriter, r *http.Request) {
	conn, in, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	e.writeAnswer(conn, r.Header.Get("Request-Id"))
	next, err := http.ReadRequest(in.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	id := next.Header.Get("Request-Id")
	e.w.runs.add(run{id: id, endpoint: e.id, zone: e.m.zone, path: next.URL.Path, at: time.Now()})
	e.w.rec.note("endpoint sends additional bytes after its answer", "answered", r.Header.Get("Request-Id"), "next", id)
	_, _ = io.WriteString(conn, bare)
	time.Sleep(e.work)
	e.writeAnswer(conn, id)
}

func (e *endpoint) writeAnswer(conn net.Conn, id string) {
	text := fmt.Sprintf("%s ran %s", e.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, signature(id, text), len(text), text)
}
