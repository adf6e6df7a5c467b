package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
)

// recorder is a test whose failure does not fail the test that uses it.
type recorder struct {
	*testing.T
	errors chan string
}

func (r *recorder) Errorf(format string, args ...any) { r.errors <- fmt.Sprintf(format, args...) }

func startStandIns(t testing.TB) *Cluster {
	c := newCluster(t, Options{Control: 2, Hosts: []Host{
		{Zone: "a", Targets: []string{"quotes"}}, {Zone: "b"}, {Zone: "c"},
	}}, standIn)
	c.Start()
	return c
}

// ask sends an order to the stand-in of a node.
func ask(t *testing.T, n *Node, order string) string {
	t.Helper()
	resp, err := http.Get("http://" + n.Settings.CallerListen + order)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func open(t *testing.T, n *Node, address string) (id string) {
	t.Helper()
	return ask(t, n, "/open?to="+address)
}

func ping(t *testing.T, n *Node, id string) string {
	t.Helper()
	return ask(t, n, "/ping?id="+id)
}

// TestLinksAreSeparate guards against a fault on one link that reaches another pair, kind or direction.
func TestLinksAreSeparate(t *testing.T) {
	is := is.New(t)
	c := startStandIns(t)
	a, b, d := c.Nodes[0], c.Nodes[1], c.Nodes[2]
	hop, fate := open(t, a, b.Settings.InternalAdvertise), open(t, a, b.Settings.RPCAdvertise)
	other, control := open(t, d, b.Settings.InternalAdvertise), open(t, a, c.Control[0].Settings.RPCAdvertise)
	orders := open(t, a, c.Targets[0].Settings.Advertise)
	for _, id := range []string{hop, fate, control, orders} {
		is.Equal(ping(t, a, id), "echo")
	}
	for _, direction := range []Direction{Both, Forward, Backward} {
		link := c.Link(&a.Process, &b.Process, Hop)
		link.Cut(direction)
		is.Equal(ping(t, a, hop), "silent")
		is.Equal(ping(t, d, other), "echo")
		is.Equal(ping(t, a, fate), "echo")
		link.Heal()
		is.Equal(ask(t, a, "/ping?read=1&id="+hop), "echo") // what waited arrives late
		is.Equal(ping(t, a, hop), "echo")
	}
	heal := c.Isolate(&a.Process)
	for _, id := range []string{hop, fate, control, orders} {
		is.Equal(ping(t, a, id), "silent")
	}
	is.Equal(ping(t, d, other), "echo")
	is.Equal(ping(t, a, open(t, a, c.Control[1].Settings.RPCAdvertise)), "silent")
	heal()
	for _, id := range []string{hop, fate, control, orders} {
		is.Equal(ask(t, a, "/ping?read=1&id="+id), "echo")
	}
	host := c.Host(a)
	CutAll(c.Between(host, c.Others(host)))
	is.Equal(ping(t, a, hop), "silent")
	is.Equal(ping(t, a, control), "silent")
	is.Equal(ping(t, a, orders), "echo")
}

// TestOneDirection guards against Forward and Backward being swapped.
func TestOneDirection(t *testing.T) {
	is := is.New(t)
	c := startStandIns(t)
	a, b := c.Nodes[0], c.Nodes[1]
	link := c.Link(&a.Process, &b.Process, Hop)
	id := open(t, a, b.Settings.InternalAdvertise)
	is.Equal(ping(t, a, id), "echo")
	link.Cut(Backward)
	is.Equal(ping(t, a, id), "silent") // the byte is at b, its echo waits
	link.Cut(Forward)
	link.valve.set(Backward, false)
	is.Equal(ask(t, a, "/ping?read=1&id="+id), "echo")
	is.Equal(ping(t, a, id), "silent")
}

// TestSilence guards against a silence that ends, or that reaches new connections.
func TestSilence(t *testing.T) {
	is := is.New(t)
	c := startStandIns(t)
	a, b := c.Nodes[0], c.Nodes[1]
	old := open(t, a, b.Settings.InternalAdvertise)
	is.Equal(ping(t, a, old), "echo")
	c.Link(&a.Process, &b.Process, Hop).Silence()
	is.Equal(ping(t, a, old), "silent")
	is.Equal(ping(t, a, open(t, a, b.Settings.InternalAdvertise)), "echo")
	c.Link(&a.Process, &b.Process, Hop).Heal()
	is.Equal(ask(t, a, "/ping?read=1&id="+old), "silent")
}

// TestProcesses guards against faults of processes that look different from real ones: a dead process
// refuses connections and closes open ones, a frozen one does neither.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	c := startStandIns(t)
	a, b := c.Nodes[0], c.Nodes[1]
	id := open(t, a, b.Settings.InternalAdvertise)
	is.Equal(ping(t, a, id), "echo")
	b.Freeze()
	is.True(allStopped(b.PID())) // a thread that still ran would answer once
	is.Equal(ping(t, a, id), "silent")
	is.Equal(ping(t, a, open(t, a, b.Settings.InternalAdvertise)), "silent")
	b.Thaw()
	is.Equal(ask(t, a, "/ping?read=1&id="+id), "echo")
	b.Kill()
	is.Equal(b.PID(), 0)
	is.Equal(ping(t, a, id), "closed")
	is.True(strings.Contains(open(t, a, b.Settings.InternalAdvertise), "refused"))
	b.Restart()
	is.Equal(ping(t, a, open(t, a, b.Settings.InternalAdvertise)), "echo")
	b.Terminate(5 * time.Second)
	is.Equal(strings.Count(b.Log(), "stand-in started"), 2)

	m := c.Control[0]
	is.NoErr(os.MkdirAll(m.Settings.DataDir, 0o700))
	m.Kill()
	m.WipeDisk()
	_, err := os.Stat(m.Settings.DataDir)
	is.True(errors.Is(err, os.ErrNotExist))
}

// TestUnexpectedEndFailsTheTest guards against a crash that a test does not notice, and against
// processes that outlive it.
func TestUnexpectedEndFailsTheTest(t *testing.T) {
	is := is.New(t)
	r := &recorder{T: t, errors: make(chan string, 1)}
	c := startStandIns(r)
	pid := c.Nodes[1].PID()
	_, err := http.Get("http://" + c.Nodes[0].Settings.CallerListen + "/exit")
	is.True(err != nil)
	select {
	case message := <-r.errors:
		is.Equal(message, "cluster: node-1 ended by itself: exit status 3")
	case <-time.After(5 * time.Second):
		t.Fatal("the end was not reported")
	}
	c.close()
	_, err = os.Stat(fmt.Sprintf("/proc/%d", pid))
	is.True(errors.Is(err, os.ErrNotExist))
}

// TestBuildOnce guards against a program that is built again for each process.
func TestBuildOnce(t *testing.T) {
	is := is.New(t)
	first, err := Build("zinniactl")
	is.NoErr(err)
	before, err := os.Stat(first)
	is.NoErr(err)
	second, err := Build("zinniactl")
	is.NoErr(err)
	after, err := os.Stat(second)
	is.NoErr(err)
	is.True(os.SameFile(before, after) && before.ModTime().Equal(after.ModTime()))
	_, err = Build("absent")
	is.True(err != nil)
}

// TestAnswers guards against a refusal or a truncated answer that a test takes for a success.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/echo":
			_ = json.NewEncoder(w).Encode(Echo{Method: r.Method, Headers: r.Header})
		case "/short":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{}"))
		default:
			errkind.WriteHTTP(w, errkind.New(errkind.NoOwner, "test"))
		}
	}))
	defer server.Close()
	n := &Node{}
	n.Settings.CallerListen = strings.TrimPrefix(server.URL, "http://")
	a, err := n.Do(t.Context(), Request{Method: http.MethodPost, Path: "/echo", OrganisationKey: "k", Body: []byte("{}")})
	is.NoErr(err)
	is.Equal(a.Echo.Method, http.MethodPost)
	is.Equal(a.Echo.Headers.Get("Authorization"), "Bearer k")
	a, err = n.Do(t.Context(), Request{Path: "/refused"})
	is.NoErr(err)
	is.Equal(a.Kind, errkind.NoOwner)
	is.True(a.NotRun)
	_, err = n.Do(t.Context(), Request{Path: "/short"})
	is.True(err != nil)
}
