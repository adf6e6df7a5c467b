package routematch

import (
	"net/url"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against two forms of one path that differ, and against different paths that are taken for one.
func TestNormalForms(t *testing.T) {
	is := is.New(t)
	at := func(target string) Path {
		u, err := url.ParseRequestURI(target)
		is.NoErr(err)
		return PathOf(u)
	}
	for _, same := range [][]string{
		{"/a/b", "/%61/b", "/a/%62"},
		{"/a%2fb", "/a%2Fb", "/%61%2Fb"},
		{"/a;b", "/a%3Bb", "/a%3bb"},
		{"/\xc3\xa9", "/%c3%a9", "/%C3%A9"},
		{"/a%2F\"", "/a%2F%22"},
	} {
		for _, form := range same[1:] {
			is.Equal(at(form), at(same[0]))
		}
	}
	different := []string{"/a", "/a/", "//a", "/a//", "/a%2F", "/A", "/a%252F", "/a/%2F", "/a%25"}
	for i, a := range different {
		for _, b := range different[:i] {
			is.True(at(a) != at(b)) // different paths
		}
	}
	changed, err := url.Parse("/a%2Fb")
	is.NoErr(err)
	changed.Path = "/c" // RawPath is outdated
	is.Equal(PathOf(changed), Path("/c"))
}

// Guards against keys that differ between readers of a path.
func TestSegments(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		path  string
		index int
		want  string
		ok    bool
	}{
		{"/q/k", 1, "k", true}, {"/q/a%2Fb/c", 1, "a/b", true}, {"/q/a%2Fb/c", 2, "c", true}, {"/q//c", 1, "", true},
		{"/q", 1, "", false}, {"/q/", 1, "", true}, {"/q/%e2%82%ac", 1, "\xe2\x82\xac", true}, {"/q", 31, "", false},
	} {
		u, err := url.ParseRequestURI(c.path)
		is.NoErr(err)
		got, ok := PathOf(u).Segment(c.index)
		is.Equal(got, c.want)
		is.Equal(ok, c.ok)
	}
}

// namedRoute is a route in a sorted list.
type namedRoute struct {
	api.Route
	pattern Pattern
}

func (r *namedRoute) Pattern() *Pattern { return &r.pattern }

// Guards against a route that is selected although a longer prefix, or the same one with a host, matches; and against a malformed
// prefix that stops the selection.
func TestPreferredRoute(t *testing.T) {
	is := is.New(t)
	var routes []*namedRoute
	for _, r := range []api.Route{
		{Prefix: "/"}, {Prefix: "/a"}, {Prefix: "/a/"}, {Prefix: "/a/", Host: "X.example"}, {Prefix: "/%61b/"}, {Prefix: "/long-put/", Methods: []string{"PUT"}},
		{Prefix: "/b//"}, {Prefix: "/50%/"},
	} {
		routes = append(routes, &namedRoute{r, PatternOf(&r)})
	}
	Sort(routes)
	for _, c := range []struct{ method, host, target, prefix, routeHost string }{
		{"GET", "h", "/", "/", ""}, {"GET", "h", "/x", "/", ""},
		{"GET", "h", "/a", "/a", ""}, {"GET", "h", "/a/x", "/a/", ""}, {"GET", "h", "/ab", "/", ""},
		{"GET", "x.Example", "/a/x", "/a/", "X.example"}, {"GET", "x.example", "/a", "/a", ""},
		{"GET", "h", "/ab/x", "/%61b/", ""}, {"GET", "h", "/a%2Fx", "/", ""},
		{"PUT", "h", "/long-put/x", "/long-put/", ""}, {"GET", "h", "/long-put/x", "/", ""},
		{"GET", "h", "/b/x", "/", ""}, {"GET", "h", "/b//x", "/b//", ""}, {"GET", "h", "/50%25/x", "/50%/", ""},
	} {
		u, err := url.ParseRequestURI(c.target)
		is.NoErr(err)
		r, found := Find(routes, c.method, c.host, PathOf(u))
		is.True(found)
		is.Equal(r.Prefix, c.prefix)
		is.Equal(r.Host, c.routeHost)
	}
	_, found := Find(routes[:1], "GET", "h", "/x")
	is.True(!found)
}

// Guards against a path that the next reader takes for another one, as a slash was encoded or decoded on the way.
func FuzzForward(f *testing.F) {
	for _, target := range []string{"/a%2Fb", "/a%2F\"b", "//a", "/a%2f\xc3\xa9", "/a;b%3B", "/%25%2F?x=%2F", "/a#b%2F"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		in, err := url.ParseRequestURI(target)
		if err != nil || in.Scheme != "" || in.Opaque != "" || in.Host != "" || in.Path == "" || in.Path[0] != '/' {
			return
		}
		out := &url.URL{Scheme: "http", Host: "h"}
		Forward(out, in)
		sent := out.RequestURI()
		received, err := url.ParseRequestURI(sent)
		if err != nil {
			t.Fatalf("%q is sent as %q: %v", target, sent, err)
		}
		if PathOf(received) != PathOf(in) || received.Path != in.Path {
			t.Fatalf("%q is sent as %q: path %q, was %q", target, sent, PathOf(received), PathOf(in))
		}
		if again := normalize(string(PathOf(in))); again != PathOf(in) {
			t.Fatalf("normal form %q of %q has the normal form %q", PathOf(in), target, again)
		}
	})
}
