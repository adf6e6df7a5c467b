package host

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// testCalls is the format of calls in these tests.
type testCalls struct{}

type testCall struct {
	ID    string
	Row   api.RangeGrant
	Hold  time.Duration
	Grant bool
}

func (testCalls) NewGrant(id, address, _ string, row api.RangeGrant, hold time.Duration) (*http.Request, error) {
	return newTestCall(address, testCall{ID: id, Row: row, Hold: hold, Grant: true})
}

func (testCalls) NewRelease(id, address, _ string, row api.RangeGrant) (*http.Request, error) {
	return newTestCall(address, testCall{ID: id, Row: row})
}

func newTestCall(address string, c testCall) (*http.Request, error) {
	body, _ := json.Marshal(c)
	return http.NewRequest(http.MethodPost, "http://"+address, bytes.NewReader(body))
}

func (testCalls) ParseGrant(id string, r *http.Response) error {
	if echoed := r.Header.Get("Call"); echoed != "" && echoed != id {
		return errkind.New(errkind.CrossedAnswer, "response to %s", echoed)
	}
	switch r.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errkind.New(errkind.StaleEpoch, "refused")
	}
	return errkind.New(errkind.Unknown, "%s", r.Status)
}

func (c testCalls) ParseRelease(id string, r *http.Response) (string, error) {
	return r.Header.Get("Handover"), c.ParseGrant(id, r)
}

// callWorld is a node with one target that gets its grants by calls.
type callWorld struct {
	*pullFixture
	mu     sync.Mutex
	calls  []testCall
	answer func(w http.ResponseWriter, c testCall) // nil: 200
}

const callHeartbeat = 100 * time.Millisecond

func newCallWorld(t *testing.T) *callWorld {
	w := &callWorld{}
	server := httptest.NewServer(http.HandlerFunc(w.serve))
	t.Cleanup(server.Close)
	w.pullFixture = newPullWorldWith(t, Options{Calls: testCalls{}, HeartbeatInterval: callHeartbeat, OrderInterval: 50 * time.Millisecond})
	w.a.Address = server.Listener.Addr().String()
	w.c.change(func(v *api.View) {
		c := *v.Configuration
		s := c.Services.Services[0]
		s.GrantsByCall = true
		c.Services.Services = []api.Service{s}
		v.Configuration = &c
	})
	w.c.r.started = time.Now().Add(-time.Minute)
	return w
}

func (w *callWorld) serve(rw http.ResponseWriter, r *http.Request) {
	var c testCall
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &c)
	w.mu.Lock()
	w.calls = append(w.calls, c)
	answer := w.answer
	w.mu.Unlock()
	if answer != nil {
		answer(rw, c)
	}
}

func (w *callWorld) respond(f func(http.ResponseWriter, testCall)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = f
}

func (w *callWorld) count(f func(testCall) bool) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.calls {
		if f(c) {
			n++
		}
	}
	return n
}

func grants(c testCall) bool   { return c.Grant }
func releases(c testCall) bool { return !c.Grant }

// beats sends heartbeats until the test ends.
func (w *callWorld) beats() {
	w.pull(api.Pull{})
	go func() {
		for at := w.at + 1; w.t.Context().Err() == nil; at++ {
			time.Sleep(callHeartbeat)
			_, _ = w.c.r.Pull(w.a, api.Pull{Sequence: at})
		}
	}()
}

func (w *callWorld) usable(epoch api.Epoch) bool {
	_, end, err := w.c.r.Lookup(w.a.ID).Begin(w.t.Context(), ref0(), epoch, "")
	if err == nil {
		end()
	}
	return err == nil
}

// Guards against grants that are not delivered, not renewed in time, or moved without the token of the
// release.
func TestCallsGrantRenewAndRelease(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.respond(func(rw http.ResponseWriter, c testCall) {
		if !c.Grant {
			rw.Header().Set("Handover", "token")
		}
	})
	w.own(api.Granted, 5, 5, 0, 7)
	w.beats()
	eventually(t, "grants", func() bool { return w.usable(5) })
	joined := testCall{Row: row(0, 199, 5, "from-5"), Hold: 2 * time.Second, Grant: true} // adjacent ranges share a call
	is.Equal(w.count(func(c testCall) bool { c.ID = ""; return c == joined }), 1)
	time.Sleep(2500 * time.Millisecond)
	is.True(w.usable(5)) // renewed
	n := w.count(grants)
	is.True(n >= 4 && n <= 10) // two rows, at most every half hold
	w.own(api.Releasing, 5, 5, 0, 7)
	eventually(t, "release", func() bool { return w.c.released(5) && w.c.released(7) })
	for _, released := range w.c.r.Released() {
		is.Equal(released.Handover, "token")
	}
}

// Guards against a range that is granted elsewhere while an unanswered grant may still take effect: the
// target processes it late, even after it has answered a release.
func TestUnansweredGrantDelaysRelease(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.own(api.Granted, 5)
	w.beats()
	eventually(t, "grant", func() bool { return w.usable(5) })
	var unanswered time.Time
	w.respond(func(_ http.ResponseWriter, c testCall) {
		if c.Grant {
			w.mu.Lock()
			if unanswered.IsZero() {
				unanswered = time.Now()
			}
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	})
	eventually(t, "unanswered renewal", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !unanswered.IsZero() })
	w.own(api.Releasing, 5)
	time.Sleep(300 * time.Millisecond)
	is.Equal(w.c.released(5), false)
	is.True(w.usable(5)) // its owner goes on meanwhile
	is.Equal(w.count(releases), 0)
	eventually(t, "release", func() bool { return w.c.released(5) })
	is.True(time.Since(unanswered) >= 2*time.Second)
}

// Guards against a target that takes no call and keeps its ranges for ever, since each retry extends them.
func TestRetriesDoNotExtendGrants(t *testing.T) {
	w := newCallWorld(t)
	w.own(api.Granted, 5)
	w.respond(func(http.ResponseWriter, testCall) { panic(http.ErrAbortHandler) })
	w.beats()
	if took := eventually(t, "release", func() bool { return w.c.released(5) }); took > 4*time.Second {
		t.Fatalf("released after %v", took)
	}
}

// Guards against repeating a grant that the target has refused for a higher epoch, and against giving up
// the other ranges of the same call.
func TestRefusedGrantIsReleased(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.respond(func(rw http.ResponseWriter, c testCall) {
		if c.Grant && c.Row.First <= 150 && 150 <= c.Row.Last {
			rw.WriteHeader(http.StatusConflict)
		}
	})
	w.own(api.Granted, 5, 5)
	w.beats()
	eventually(t, "release of the refused range", func() bool { return w.c.released(5) })
	is.Equal(len(w.c.r.Released()), 1)
	is.Equal(w.c.r.Released()[0].Partition, 1)
	eventually(t, "grant of the other", func() bool { return w.usable(5) })
	w.own(api.Granted, 5, 0)
	time.Sleep(300 * time.Millisecond)
	is.Equal(w.count(func(c testCall) bool { return c.Grant && c.Row.Last > 100 }), 2) // in a row, then alone
}

// Guards against a lost release that is not repeated, and against an answer to a release that comes after
// the hold has ended and the range was granted again.
func TestLostAndLateReleases(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.own(api.Granted, 5)
	w.beats()
	eventually(t, "grant", func() bool { return w.usable(5) })
	w.respond(func(rw http.ResponseWriter, c testCall) {
		if !c.Grant && w.count(releases) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	w.own(api.Releasing, 5)
	if took := eventually(t, "release", func() bool { return w.c.released(5) }); took > time.Second {
		t.Fatalf("a lost release was repeated after %v", took)
	}

	target := w.c.r.Lookup(w.a.ID)
	w.respond(nil)
	w.own(api.Granted, 8)
	eventually(t, "grant", func() bool { return w.usable(8) })
	target.mu.Lock()
	old := &grant{partition: 0, epoch: 5, phase: revoking}
	target.releaseCalls++
	target.recordCall(&rangeCall{release: true, grants: []*grant{old}}, "late", nil, true, time.Now())
	target.mu.Unlock()
	is.True(w.usable(8))
	is.Equal(w.c.released(8), false)
}

// Guards against one hanging call, or an answer without end, that holds up the renewal of other ranges or
// takes unbounded memory.
func TestTroubledCallsAreBounded(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"hang":         func(net.Conn) {},
		"endless head": func(c net.Conn) { flood(c, "HTTP/1.1 200 OK\r\n", "X: y\r\n") },
		"endless 1xx":  func(c net.Conn) { flood(c, "", "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"endless body": func(c net.Conn) {
			flood(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n")
		},
		"garbage": func(c net.Conn) { _, _ = c.Write([]byte("\x00\x01\x02 no answer")) },
		"cut short": func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"))
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newCallWorld(t)
			w.respond(func(rw http.ResponseWriter, c testCall) {
				if c.Row.First != 0 {
					return
				}
				conn, _, _ := rw.(http.Hijacker).Hijack()
				spoil(conn)
				time.AfterFunc(3*time.Second, func() { _ = conn.Close() })
			})
			w.own(api.Granted, 5, 6)
			w.beats()
			began := time.Now()
			other := api.PartitionRef{Service: testService, Partition: 1}
			for time.Since(began) < 2500*time.Millisecond {
				_, end, err := w.c.r.Lookup(w.a.ID).Begin(t.Context(), other, 6, "")
				is.NoErr(err)
				end()
				time.Sleep(50 * time.Millisecond)
			}
			n := w.count(func(c testCall) bool { return c.Row.First == 0 })
			is.True(n >= 1 && n <= 12)
			is.Equal(w.usable(5), false) // a malformed answer is no grant
		})
	}
}

// flood writes the head and then the part until the connection ends.
func flood(c net.Conn, head, part string) {
	_, _ = io.WriteString(c, head)
	part = strings.Repeat(part, 512)
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
}

// Guards against an answer to an earlier call, sent again late, that counts as the answer to this one.
func TestCrossedCallAnswer(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.respond(func(rw http.ResponseWriter, c testCall) { rw.Header().Set("Call", "i-1@100/0") })
	w.own(api.Granted, 5)
	w.beats()
	eventually(t, "call", func() bool { return w.count(grants) > 0 })
	time.Sleep(50 * time.Millisecond)
	is.Equal(w.usable(5), false)
}

// Guards against a range that a restarted node releases while a grant by its previous process may still
// take effect, and against an interruption of service.
func TestRestartedNodeTakesOverGrants(t *testing.T) {
	is := is.New(t)
	w := newCallWorld(t)
	w.c.r.started = time.Now()
	w.own(api.Granted, 5)
	w.beats()
	eventually(t, "grant", func() bool { return w.usable(5) })
	w.own(api.Releasing, 5)
	is.True(w.usable(5))
	time.Sleep(time.Until(w.c.r.started.Add(1500 * time.Millisecond)))
	is.Equal(w.c.released(5), false)
	is.True(w.usable(5))
	eventually(t, "release", func() bool { return w.c.released(5) })
	is.True(time.Since(w.c.r.started) >= 2*time.Second)
}

// Guards against a grant that reaches the next instance at the address under an epoch of its predecessor.
func TestNoNewConnectionWithoutHeartbeat(t *testing.T) {
	is := is.New(t)
	at := time.Now()
	const interval = time.Second
	is.True(mayDial(at, at.Add(-time.Second), time.Time{}, interval))
	is.True(mayDial(at, at.Add(-time.Second), at.Add(-2*time.Second), interval))
	is.Equal(mayDial(at, at.Add(-time.Second), at.Add(-time.Second/2), interval), false) // a connection has ended since
	is.Equal(mayDial(at, at.Add(-2*time.Second), time.Time{}, interval), false)          // silent

	w := newCallWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	eventually(t, "grant", func() bool { return w.usable(5) })
	w.respond(func(http.ResponseWriter, testCall) { panic(http.ErrAbortHandler) })
	eventually(t, "reset", func() bool { return w.count(grants) == 2 })
	w.respond(nil)
	time.Sleep(500 * time.Millisecond)
	is.Equal(w.count(grants), 2)
	w.pull(api.Pull{})
	eventually(t, "renewal after a heartbeat", func() bool { return w.count(grants) > 2 })
}

// Guards against renewals of a target with 100 ranges that need more calls than ranges, or start more at
// once than the bound.
func TestManyRangesAreRenewedInBoundedCalls(t *testing.T) {
	is := is.New(t)
	const owned = 100
	w := newCallWorld(t)
	w.c.change(func(v *api.View) {
		c := *v.Configuration
		s := c.Services.Services[0]
		s.Partitions = owned
		c.Services.Services = []api.Service{s}
		v.Configuration = &c
		v.MapVersion++
		list := make([]api.Assignment, owned)
		for p := range list {
			list[p] = api.Assignment{State: api.Granted, Target: w.a.ID, Session: v.Session, Epoch: api.Epoch(5 + p%2), Place: "p"}
		}
		v.Assignments = api.NewAssignmentTable(api.Assignments{testService: list})
	})
	var inFlight, most int
	w.respond(func(http.ResponseWriter, testCall) {
		w.mu.Lock()
		inFlight++
		most = max(most, inFlight)
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		inFlight--
		w.mu.Unlock()
	})
	w.beats()
	eventually(t, "all grants", func() bool { return w.count(grants) >= owned })
	time.Sleep(2 * time.Second)
	n := w.count(grants)
	is.True(n <= 4*owned) // first grants and renewals every second
	w.mu.Lock()           // renewals go on
	atOnce := most
	w.mu.Unlock()
	is.True(atOnce <= maxGrantCalls)
	_, end, err := w.c.r.Lookup(w.a.ID).Begin(t.Context(), api.PartitionRef{Service: testService, Partition: owned - 1}, 6, "")
	is.NoErr(err)
	end()
}
