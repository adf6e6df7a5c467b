package gateway

import (
	"bufio"
	"fmt"
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

// pathNodes is a deployment whose services "site" and "archive" have a target at one node each. The node entry has no target.
type pathNodes struct {
	entry, site, archive      *testNode
	siteTarget, archiveTarget *httpTarget
	siteRuns, archiveRuns     int64 // as of the last request
}

func newPathNodes(t *testing.T) *pathNodes {
	t.Helper()
	p := &pathNodes{siteTarget: newTarget(t, echoOK), archiveTarget: newTarget(t, echoOK)}
	p.entry = newNode(t, "entry", "", config.Traffic{})
	p.site = newNode(t, "site", p.siteTarget.addr(), config.Traffic{})
	p.archive = newNode(t, "archive", p.archiveTarget.addr(), config.Traffic{})
	p.site.peer.Targets = []api.PeerTarget{{ID: "t-site", Service: "site", Slots: 8, State: api.TargetServing}}
	p.archive.peer.Targets = []api.PeerTarget{{ID: "t-archive", Service: "archive", Slots: 8, State: api.TargetServing}}
	connect(p.site, p.entry, p.site, p.archive)
	for _, n := range p.nodes() {
		n.change(func(v *api.View) {
			c := *v.Configuration
			c.Services = api.Services{Services: []api.Service{
				{Name: "site", DeadlineMs: 2000, Routes: []api.Route{{Prefix: "/"}, {Prefix: "/public/", Open: true},
					{Prefix: "/mixed/", Split: []api.RouteShare{{Service: "archive", Weight: 1}}},
					{Prefix: "/put/", Methods: []string{"PUT"}, Split: []api.RouteShare{{Service: "archive", Weight: 1}}}}},
				{Name: "archive", DeadlineMs: 2000, Routes: []api.Route{{Prefix: "/archive/"}, {Prefix: "/whole"}}},
			}}
			v.Configuration = &c
		})
	}
	return p
}

func (p *pathNodes) nodes() []*testNode { return []*testNode{p.entry, p.site, p.archive} }

// ran returns the service that ran the last request, empty for none, and the request target that its target received.
func (p *pathNodes) ran() (service, path string) {
	if n := p.siteTarget.runs.Load(); n != p.siteRuns {
		p.siteRuns = n
		return "site", p.siteTarget.last.Load().RequestURI
	}
	if n := p.archiveTarget.runs.Load(); n != p.archiveRuns {
		p.archiveRuns = n
		return "archive", p.archiveTarget.last.Load().RequestURI
	}
	return "", ""
}

// sendTarget sends a request with the request target as it is written, and returns the status.
func (n *testNode) sendTarget(t *testing.T, method, target, key string) int {
	t.Helper()
	conn, err := net.Dial("tcp", n.caller.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nAuthorization: Bearer %s\r\n\r\n", method, target, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against a route that takes requests for paths which its prefix does not begin (ROUTE): without the slash at the end, with an
// encoded slash, or in another form that a reader of the path takes for the prefix.
func TestEveryFormOfAPathTakesItsRoute(t *testing.T) {
	p := newPathNodes(t)
	for _, c := range []struct{ target, service, received string }{
		{"/archive", "site", ""},
		{"/archive?from=/archive/", "site", ""},
		{"/archive/", "archive", ""},
		{"/archive/x", "archive", ""},
		{"/archivex", "site", ""},
		{"/Archive/x", "site", ""},
		{"/archive%2Fx", "site", ""},
		{"/archive%2fx", "site", ""},
		{"/archive%2F", "site", ""},
		{"/archive/x%2Fy", "archive", ""},
		{"/%61rchive/x", "archive", ""},
		{"/%61rchive", "site", ""},
		{"//archive/x", "site", ""},
		{"/archive//x", "archive", ""},
		{"/archive%252Fx", "site", ""},
		{"/archive/\xc3\xa9", "archive", "/archive/%C3%A9"},
		{"/archive%2F\xc3\xa9", "site", "/archive%2F%C3%A9"},
		{"/whole", "archive", ""},
		{"/whole/", "archive", ""},
		{"/whole/x", "archive", ""},
		{"/whole%2Fx", "site", ""},
		{"/wholex", "site", ""},
		{"/mixed/x", "archive", ""},
		{"/mixed", "site", ""},
		{"/put/x", "site", ""},
		{"/archive/../x", "", ""},
		{"/archive/%2e%2E/x", "", ""},
		{"/./archive/x", "", ""},
		{"/archive/..%2Fx", "", ""},
		{"/archive/..", "", ""},
	} {
		for _, n := range p.nodes() {
			t.Run(n.peer.Name+" "+c.target, func(t *testing.T) {
				is := is.New(t)
				x := explain(t, n.Gateway, c.target, orgKey)
				is.Equal(x.Service, c.service)
				status := n.sendTarget(t, "GET", c.target, orgKey)
				service, received := p.ran()
				is.Equal(service, c.service)
				if c.service == "" {
					is.Equal(status, http.StatusBadRequest)
					is.Equal(x.Refusal.Kind, errkind.BadRequest)
					return
				}
				is.Equal(status, http.StatusOK)
				if c.received == "" {
					c.received = c.target
				}
				is.Equal(received, c.received)
			})
		}
	}
}

// Guards against a route that is chosen without its methods, or by a path that its prefix does not begin.
func TestMethodsOfARouteHoldForItsPathsOnly(t *testing.T) {
	is := is.New(t)
	p := newPathNodes(t)
	for target, service := range map[string]string{"/put/x": "archive", "/put": "site", "/put%2Fx": "site"} {
		is.Equal(p.entry.sendTarget(t, "PUT", target, orgKey), http.StatusOK)
		got, _ := p.ran()
		is.Equal(got, service) // PUT
	}
}

// Guards against requests that run without an organisation key because another route's prefix nearly begins their path.
func TestOpenRouteOpensOnlyItsPaths(t *testing.T) {
	is := is.New(t)
	p := newPathNodes(t)
	for _, n := range p.nodes() {
		is.Equal(n.sendTarget(t, "GET", "/public/x", "unknown"), http.StatusOK)
		is.Equal(n.sendTarget(t, "GET", "/%70ublic/x", "unknown"), http.StatusOK)
		for _, target := range []string{"/public", "/public%2Fx", "//public/x", "/publicx"} {
			is.Equal(n.sendTarget(t, "GET", target, "unknown"), http.StatusUnauthorized)
		}
		is.True(strings.HasPrefix(explain(t, n.Gateway, "/public", "unknown").Refusal.Message, "organisation key"))
	}
}

// Guards against a path that a node answers itself although it belongs to a route: in a dialect that does not know the map, or in
// another form than the map's.
func TestPathOfTheMapIsTheMapsOnly(t *testing.T) {
	is := is.New(t)
	p := newPathNodes(t)
	ranBySite := func(target string) bool {
		x := explain(t, p.entry.Gateway, target, orgKey)
		status := p.entry.sendTarget(t, "GET", target, orgKey)
		service, _ := p.ran()
		is.Equal(status, http.StatusOK)
		is.Equal(x.Service, service) // explain and the request
		return service == "site"
	}
	is.True(!ranBySite(api.PathMap))
	is.True(!ranBySite("/v1/%6dap"))
	is.True(ranBySite("/v1%2Fmap"))
	is.True(ranBySite(api.PathMap + "/"))
	p.entry.dialect = requestIDDialect{}
	is.True(ranBySite(api.PathMap))
}
