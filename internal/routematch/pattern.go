package routematch

import (
	"cmp"
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/api"
)

// Pattern is what the requests of a route have in common.
type Pattern struct {
	host    string // in lower case; empty means any
	prefix  Path
	methods []string // empty means all
}

// PatternOf returns the pattern of a route.
func PatternOf(r *api.Route) Pattern {
	return Pattern{host: strings.ToLower(r.Host), prefix: normalize(r.Prefix), methods: r.Methods}
}

// Matches reports whether a request takes the route, unless another route has a longer prefix.
func (p *Pattern) Matches(method, host string, path Path) bool {
	if p.host != "" && !strings.EqualFold(p.host, host) {
		return false
	}
	if len(p.methods) > 0 && !slices.Contains(p.methods, method) {
		return false
	}
	return p.prefix.begins(path)
}

// begins reports whether the prefix begins the path. A prefix without a slash at its end begins paths of whole segments only:
// "/a" begins "/a" and "/a/b" but not "/ab". One with a slash does not begin the path without it.
func (prefix Path) begins(path Path) bool {
	rest, found := strings.CutPrefix(string(path), string(prefix))
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(string(prefix), "/"))
}

// HostPrefix identifies the host and the prefix. Patterns in which it differs never conflict.
func (p *Pattern) HostPrefix() string { return p.host + string(p.prefix) }

// Conflicts reports whether neither of two routes is preferred for some request that both match: they have the same host and
// prefix, and a method in common.
func (p *Pattern) Conflicts(q *Pattern) bool {
	if p.HostPrefix() != q.HostPrefix() {
		return false
	}
	return len(p.methods) == 0 || len(q.methods) == 0 ||
		slices.ContainsFunc(p.methods, func(m string) bool { return slices.Contains(q.methods, m) })
}

// Compare orders patterns by preference: a longer prefix comes first, and with equal prefixes a host before any host.
func (p *Pattern) Compare(q *Pattern) int {
	if c := cmp.Compare(len(q.prefix), len(p.prefix)); c != 0 {
		return c
	}
	return cmp.Compare(len(q.host), len(p.host))
}

// String identifies the requests that the pattern matches.
func (p *Pattern) String() string {
	return strings.Join(p.methods, ",") + " " + p.HostPrefix()
}

// Patterned is implemented by values that stand for a route.
type Patterned interface{ Pattern() *Pattern }

// Sort sorts routes by preference; routes without one keep their order.
func Sort[R Patterned](routes []R) {
	slices.SortStableFunc(routes, func(a, b R) int { return a.Pattern().Compare(b.Pattern()) })
}

// Find returns the route that a request takes: the first match in sorted routes, with the longest prefix. found is false if none
// matches.
func Find[R Patterned](sorted []R, method, host string, path Path) (route R, found bool) {
	for _, r := range sorted {
		if r.Pattern().Matches(method, host, path) {
			return r, true
		}
	}
	return route, false
}
