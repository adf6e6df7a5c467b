package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// fakeNode is a caller listener that serves a map and counts requests.
type fakeNode struct {
	*httptest.Server
	runs   atomic.Int64
	public atomic.Pointer[api.PublicMap]
	answer func(w http.ResponseWriter)
}

func newFakeNode(t *testing.T, answer func(w http.ResponseWriter)) *fakeNode {
	t.Helper()
	f := &fakeNode{answer: answer}
	f.Server = httptest.NewServer(f)
	t.Cleanup(f.Close)
	return f
}

func (f *fakeNode) addr() string { return f.Listener.Addr().String() }

func (f *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer key" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	m := f.public.Load()
	if r.URL.Path == api.PathMap {
		_ = json.NewEncoder(w).Encode(m)
		return
	}
	f.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(api.HeaderMapVersion, strconv.FormatUint(m.Version, 10))
	f.answer(w)
}

func ok(w http.ResponseWriter) { _, _ = io.WriteString(w, "ok") }

func drop(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func refuse(notRun bool) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		e := errkind.New(errkind.WrongOwner, "moved")
		e.NotRun = notRun
		errkind.WriteHTTP(w, e)
	}
}

// publish gives all nodes a map in which the owner has every partition of /q.
func publish(version uint64, owner int, nodes ...*fakeNode) {
	segment := 1
	m := &api.PublicMap{Version: version, Services: []api.PublicService{{Name: "q", Key: &api.KeySource{PathSegment: &segment},
		Partitions: 2, Owners: []int{owner, owner}, Routes: []api.Route{{Prefix: "/q"}}}}}
	for _, n := range nodes {
		m.Nodes = append(m.Nodes, n.addr())
	}
	for _, n := range nodes {
		n.public.Store(m)
	}
}

// newClient returns a client that has fetched the map.
func newClient(t *testing.T, n *fakeNode) *Client {
	t.Helper()
	c, err := New(Options{Nodes: []string{n.addr()}, OrganisationKey: "key"})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	return c
}

func send(t *testing.T, c *Client, method string) (status int, err error) {
	t.Helper()
	req, err := http.NewRequest(method, "/q/key", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// Guards against requests that take the detour over another node.
func TestGoesStraightToTheOwnersNode(t *testing.T) {
	is := is.New(t)
	a, b := newFakeNode(t, ok), newFakeNode(t, ok)
	publish(1, 1, a, b)
	c := newClient(t, a)
	for range 10 {
		_, err := send(t, c, "POST")
		is.NoErr(err)
	}
	is.Equal(b.runs.Load(), int64(10))
}

// Guards against a second run of a request that may not be repeated, and against giving up
// on one that certainly has not run.
func TestRepeatsOnlyWhatMayBeRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		answer func(w http.ResponseWriter)
		other  int64
	}{
		"POST dropped":          {"POST", drop, 0},
		"GET dropped":           {"GET", drop, 1},
		"POST refused, not run": {"POST", refuse(true), 1},
		"POST refused, unknown": {"POST", refuse(false), 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newFakeNode(t, ok), newFakeNode(t, c.answer)
			publish(1, 1, a, b)
			status, err := send(t, newClient(t, a), c.method)
			is.Equal(a.runs.Load(), c.other)
			is.Equal(b.runs.Load(), int64(1))
			is.Equal(err == nil && status == 200, c.other == 1)
		})
	}
}

// Guards against a client that stays with a node that has gone, or with an old map.
func TestFallsBackAndRefreshes(t *testing.T) {
	is := is.New(t)
	a, b := newFakeNode(t, ok), newFakeNode(t, ok)
	publish(1, 1, a, b)
	c := newClient(t, a)
	b.Close()
	publish(2, 0, a, b)
	for c.MapVersion() < 2 {
		status, err := send(t, c, "POST")
		is.NoErr(err)
		is.Equal(status, 200)
	}
}

// Guards against requests that are sent to the owner of another route's key, or repeated by another route's rule, because the client
// reads a path in another way than the nodes.
func TestClientAndNodeSelectTheSameRoute(t *testing.T) {
	is := is.New(t)
	segment, once := 1, false
	key := &api.KeySource{PathSegment: &segment}
	r := newRouting(&api.PublicMap{Nodes: []string{"site:1", "archive:1", "x:1"}, Services: []api.PublicService{
		{Name: "site", Key: key, Partitions: 1, Owners: []int{0}, Routes: []api.Route{{Prefix: "/", Idempotent: &once}}},
		{Name: "archive", Key: key, Partitions: 1, Owners: []int{1}, Routes: []api.Route{{Prefix: "/archive/"}}},
		{Name: "x", Key: key, Partitions: 1, Owners: []int{2}, Routes: []api.Route{{Prefix: "/archive/", Host: "x.example"}}},
	}}, nil)
	for _, c := range []struct {
		url, owner string
		idempotent bool
	}{
		{"http://h/archive/k", "archive:1", true},
		{"http://h/%61rchive/k", "archive:1", true},
		{"http://X.example/archive/k", "x:1", true},
		{"http://h/archive", "", false}, // no key
		{"http://h/archive%2Fx/k", "site:1", false},
		{"http://h//archive/k", "site:1", false},
	} {
		req, err := http.NewRequest("GET", c.url, nil)
		is.NoErr(err)
		is.Equal(r.owner(req), c.owner)
		is.Equal(r.idempotent(req), c.idempotent)
	}
}
