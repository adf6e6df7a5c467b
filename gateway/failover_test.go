package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/routematch"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Guards against a call that is refused although no target has seen it and another one is free:
// failover to another target costs neither an attempt nor a retry.
func TestUnsentCallFailsOver(t *testing.T) {
	is := is.New(t)
	none := 0.0
	traffic := config.Traffic{Attempts: 1, RetryShare: &none, HedgeShare: &none}
	target := newTarget(t, echoOK)
	a := newNode(t, "a", "", traffic)
	b := newNode(t, "b", target.addr(), traffic)
	c := newNode(t, "c", target.addr(), traffic)
	connect(c, a, b, c)
	b.local = nil // the node no longer has the target that the others still see
	for range 20 {
		is.Equal(a.call(t, "POST", "/orders", "x").status, http.StatusOK)
	}
}

// Guards against a refusal by a target that counts as unsent: it must use up an attempt.
func TestRefusalByATargetUsesAnAttempt(t *testing.T) {
	is := is.New(t)
	none := 0.0
	traffic := config.Traffic{Attempts: 1, RetryShare: &none, HedgeShare: &none}
	shed := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderShed, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	a := newNode(t, "a", shed.addr(), traffic)
	b := newNode(t, "b", shed.addr(), traffic)
	connect(a, a, b)
	is.Equal(a.call(t, "GET", "/orders", "").kind, errkind.Overloaded)
	is.Equal(shed.runs.Load(), int64(1))
}

// Guards against a busy loop: a call that waits for an owner checked the view again and again
// without a pause once the lease of its node had expired.
func TestWaitingWithoutLeaseDoesNotSpin(t *testing.T) {
	is := is.New(t)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", newTarget(t, echoOK).addr(), config.Traffic{})
	connect(b, a, b)
	a.change(func(v *api.View) {
		expire(v)
		v.WithoutLease = true
		v.Assignments = api.NewAssignmentTable(api.Assignments{"quotes": make([]api.Assignment, 4)})
	})
	before := telemetry.Retries(errkind.NoOwner)
	got := a.call(t, "POST", "/quotes/k", "x", api.HeaderDeadlineMs, "400")
	is.Equal(got.kind, errkind.NoOwner)
	is.True(telemetry.Retries(errkind.NoOwner)-before < 20)
}

// Guards against a node without a lease that does not send calls to an owner that has one.
func TestNodeWithoutLeaseReachesOwners(t *testing.T) {
	is := is.New(t)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", newTarget(t, echoOK).addr(), config.Traffic{})
	connect(b, a, b)
	a.change(func(v *api.View) { expire(v); v.WithoutLease = true })
	is.Equal(a.call(t, "POST", "/quotes/k", "x").status, http.StatusOK)
	is.Equal(a.call(t, "POST", "/orders", "x").status, http.StatusOK)
}

// Guards against traffic between zones without a benefit, and against a target in the same zone
// that is preferred although it is far slower.
func TestNearChoice(t *testing.T) {
	is := is.New(t)
	at := func(id, zone string) api.TargetAt {
		return api.TargetAt{Target: api.PeerTarget{ID: api.TargetID(id), Slots: 10}, Peer: &api.Peer{Zone: zone}}
	}
	now := time.Now()
	choose := func(near, far time.Duration, large bool) string {
		loads := &loadTable{}
		loads.get("near").recordReport(loadReport{expected: near, at: now})
		loads.get("far").recordReport(loadReport{expected: far, at: now})
		c := Candidates{targets: []api.TargetAt{at("near", "a"), at("far", "b")}, loads: loads, now: now, zone: "a", large: large}
		return string(c.targets[nearChoice{}.Choose(c)].Target.ID)
	}
	is.Equal(choose(100*time.Millisecond, 100*time.Millisecond, false), "near")
	is.Equal(choose(100*time.Millisecond, 50*time.Millisecond, false), "near")
	is.Equal(choose(200*time.Millisecond, 50*time.Millisecond, false), "far")
	is.Equal(choose(200*time.Millisecond, 50*time.Millisecond, true), "near") // a large body costs more between zones
	is.Equal(choose(600*time.Millisecond, 50*time.Millisecond, true), "far")
}

// Guards against routes that ignore their host, and shares that differ from their weights.
func TestRoutesByHostAndShare(t *testing.T) {
	is := is.New(t)
	table := newRouteTable(&api.Configuration{Services: api.Services{Services: []api.Service{
		{Name: "one", Routes: []api.Route{
			{Prefix: "/a/", Host: "x.example"},
			{Prefix: "/s/", Split: []api.RouteShare{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}},
		}},
		{Name: "two", Routes: []api.Route{{Prefix: "/a/b/", Host: "y.example"}, {Prefix: "/a/", Host: "y.example"}}},
	}}})
	is.Equal(table.match("GET", "x.example", "/a/b/c").service.Name, "one")
	is.Equal(table.match("GET", "Y.example", "/a/b/c").service.Name, "two")
	is.Equal(table.match("GET", "z.example", "/a/b/c"), (*route)(nil))
	split, second := table.match("GET", "any", "/s/1"), 0
	for range 10_000 {
		if split.pick().Name == "two" {
			second++
		}
	}
	is.True(second > 800 && second < 1200)
}

// Guards against a retry by a caller that is treated as a new request.
func TestElapsedTimeOfRetryingCallers(t *testing.T) {
	is := is.New(t)
	r := &route{}
	is.Equal(r.elapsed(1200), time.Duration(0))
	is.Equal(r.elapsed(1190), time.Duration(0)) // time in transit to the node
	is.Equal(r.elapsed(800), 400*time.Millisecond)
	is.Equal(r.elapsed(1500), time.Duration(0))
}

// Guards against callers that come back and count as new after a change of the configuration, such as a split:
// they would be queued for an objective that has passed.
func TestElapsedTimeOutlivesConfigurations(t *testing.T) {
	is := is.New(t)
	var cache routeCache
	configuration := func(prefix string) *api.Configuration {
		return &api.Configuration{Services: api.Services{Services: []api.Service{
			{Name: "quotes", Routes: []api.Route{{Prefix: "/a/"}, {Prefix: prefix}}},
		}}}
	}
	match := func(c *api.Configuration, path routematch.Path) *route { return cache.get(c).match("GET", "h", path) }
	first, second := configuration("/b/"), configuration("/c/")
	is.Equal(match(first, "/a/x").elapsed(1200), time.Duration(0))
	is.Equal(match(first, "/b/x").elapsed(1200), time.Duration(0))
	is.Equal(match(second, "/a/x").elapsed(800), 400*time.Millisecond)
	is.Equal(match(second, "/c/x").elapsed(800), time.Duration(0)) // a new route
}

// Guards against a call that is refused because the node of its owner is restarting: nothing has
// reached the target, so waiting costs no attempt and no retry.
func TestCallWaitsForARestartingNode(t *testing.T) {
	is := is.New(t)
	none := 0.0
	a := newNode(t, "a", "", config.Traffic{Attempts: 1, RetryShare: &none, HedgeShare: &none})
	b := newNode(t, "b", newTarget(t, echoOK).addr(), config.Traffic{})
	connect(b, a, b)
	b.closing.Store(true)
	time.AfterFunc(400*time.Millisecond, func() { b.closing.Store(false) })
	is.Equal(a.call(t, "POST", "/quotes/k", "x").status, http.StatusOK)
}

// Guards against a retry delay so long that the response can no longer meet its objective.
func TestRetryAfterOverload(t *testing.T) {
	is := is.New(t)
	is.Equal(retryAfter(errkind.Overloaded, &call{objectiveAfter: 400 * time.Millisecond}), 100*time.Millisecond)
	is.Equal(retryAfter(errkind.Overloaded, &call{}), longRetryAfter)
	is.Equal(retryAfter(errkind.RateLimited, &call{objectiveAfter: 400 * time.Millisecond}), longRetryAfter)
	is.Equal(retryAfter(errkind.Unauthenticated, nil), time.Duration(0))
}
