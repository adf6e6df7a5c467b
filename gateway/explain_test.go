package gateway

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

// noTokens fails a test that takes a token.
type noTokens struct{ *testing.T }

func (n noTokens) Take(context.Context, api.OrganisationID) (Token, error) {
	n.Error("a token was taken")
	return nil, errkind.New(errkind.RateLimited, "test")
}

func (noTokens) Preview(api.OrganisationID) (waits bool, err error) { return true, nil }

// explainedNode is a node in zone a without listeners: its own target t-a serves the partitioned service quotes and, like
// t-b in zone b, the service orders.
func explainedNode(t *testing.T, mbps float64) *testNode {
	t.Helper()
	n := &testNode{local: &testTarget{info: api.Announcement{ID: "t-a"}, gate: gate.New(gate.Options{Slots: 8, NoColdStart: true})}}
	segment := 1
	c := &api.Configuration{
		Version: 9,
		Services: api.Services{Services: []api.Service{
			{Name: "quotes", Key: &api.KeySource{PathSegment: &segment}, Partitions: 4, Routes: []api.Route{{Prefix: "/quotes"}}},
			{Name: "orders", TargetChoice: NearChoice, Routes: []api.Route{{Name: "order", Prefix: "/orders", ObjectiveMs: 500},
				{Prefix: "/split", Split: []api.RouteShare{{Service: "quotes", Weight: 1}, {Service: "orders", Weight: 3}}}}},
		}},
		Organisations: []api.Organisation{{ID: "acme", Rate: 1000, Burst: 1000}},
		Keys:          []api.OrganisationKey{{ID: "k", Organisation: "acme", Digest: api.DigestKey(orgKey)}},
	}
	v := &api.View{Session: "s-a", Zone: "a", LeaseUntil: time.Now().Add(time.Hour), Configuration: c, MapVersion: 3, Peers: []api.Peer{
		{Session: "s-a", Name: "a", Zone: "a", Targets: []api.PeerTarget{
			{ID: "t-a", Service: "orders", Slots: 8, State: api.TargetServing}, {ID: "t-a", Service: "quotes", Slots: 8, State: api.TargetServing}}},
		{Session: "s-b", Name: "b", Zone: "b", Targets: []api.PeerTarget{{ID: "t-b", Service: "orders", Slots: 8, State: api.TargetServing}}},
	}}
	v.Index = api.NewViewIndex(v)
	n.now.Store(v)
	n.Gateway = New(Options{View: n.now.Load, Targets: n, Tokens: noTokens{t}, Traffic: config.Traffic{LinkMbps: mbps}})
	return n
}

// explain asks through the handler, and fails the test if the reply holds the organisation key.
func explain(t *testing.T, g *Gateway, path, key string) *api.Explanation {
	t.Helper()
	body, _ := json.Marshal(api.ExplainRequest{Host: "h", Path: path, Header: http.Header{"authorization": {"Bearer " + key}}})
	w := httptest.NewRecorder()
	g.ExplainHandler().ServeHTTP(w, httptest.NewRequest("POST", api.PathExplain, strings.NewReader(string(body))))
	x := new(api.Explanation)
	if w.Code != http.StatusOK || json.Unmarshal(w.Body.Bytes(), x) != nil || strings.Contains(w.Body.String(), key) {
		t.Fatalf("status %d, %s", w.Code, w.Body)
	}
	return x
}

// counters returns all counters of the process.
func counters() string {
	return expvar.Get("refusals").String() + expvar.Get("retries").String() + expvar.Get("events").String()
}

// Guards against refusals that explain does not name, or that it claims to have run.
func TestExplainRefusals(t *testing.T) {
	is := is.New(t)
	n := explainedNode(t, 0)
	for _, c := range []struct {
		path, key string
		want      errkind.Kind
	}{
		{"/nothing", orgKey, errkind.NoRoute}, {"/orders/../quotes", orgKey, errkind.BadRequest},
		{"/orders", "unknown-key", errkind.Unauthenticated}, {"/quotes", orgKey, errkind.BadRequest}, {"/quotes/k", orgKey, errkind.NoOwner},
	} {
		x := explain(t, n.Gateway, c.path, c.key)
		is.True(x.Refusal != nil) // by path
		is.Equal(x.Refusal.Kind, c.want)
		is.True(x.Refusal.NotRun && x.Target == nil)
	}
	x := explain(t, n.Gateway, "/quotes/k", orgKey)
	is.Equal(x.Partition.Key, "k")
	is.Equal(x.Partition.Partition, n.now.Load().Partition(&n.now.Load().Configuration.Services.Services[0], "k"))
	is.Equal(x.Then, thenWaitForOwner)
	n.change(expire)
	is.Equal(explain(t, n.Gateway, "/orders", orgKey).Refusal.Kind, errkind.NoLease)
	_, err := n.Explain(api.ExplainRequest{Path: "orders"})
	is.Equal(errkind.Of(err), errkind.BadRequest)
}

// Guards against an explanation that differs from what a real request gets: its owner and its refusal.
func TestExplainNamesTheOwner(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	first, owner := newNode(t, "first", "", config.Traffic{}), newNode(t, "owner", target.addr(), config.Traffic{})
	connect(owner, first, owner)
	for _, n := range []*testNode{first, owner} {
		x := explain(t, n.Gateway, "/quotes/k", orgKey)
		is.Equal(x.Refusal, nil)
		is.Equal(x.Partition.Owner, owner.local.info.ID)
		is.Equal(x.Target, &api.ExplainedTarget{ID: owner.local.info.ID, Node: "owner", Local: n == owner})
		is.Equal(x.Gate != nil, n == owner)
	}
	is.Equal(target.runs.Load(), int64(0))
	is.Equal(first.call(t, "GET", "/quotes/k", "").status, http.StatusOK)
	is.Equal(target.runs.Load(), int64(1))
	is.Equal(first.loads.get(owner.local.info.ID).last.at.IsZero(), false) // the owner's node has reported its load

	connect(nil, first, owner)
	first.change(expire)
	x, got := explain(t, first.Gateway, "/quotes/k", orgKey), first.call(t, "GET", "/quotes/k", "")
	is.Equal(x.Refusal.Kind, got.kind)
	is.True(strings.Contains(got.body, x.Refusal.Message))
}

// Guards against figures that are not those by which the target choice compares.
func TestExplainCandidates(t *testing.T) {
	is := is.New(t)
	n := explainedNode(t, 0)
	n.loads.get("t-a").recordReport(loadReport{expected: 400 * time.Millisecond, at: time.Now()})
	n.loads.get("t-b").recordReport(loadReport{expected: 100 * time.Millisecond, at: time.Now()})
	n.loads.get("t-b").outstanding.Store(2)
	x := explain(t, n.Gateway, "/orders", orgKey)
	is.Equal(len(x.Choices), 1)
	choice := x.Choices[0]
	is.Equal(choice.Policy, NearChoice)
	is.Equal(choice.SameZone, 1)
	is.Equal(len(choice.Compared), 2)
	b, a := choice.Compared[0], choice.Compared[1]
	is.Equal(b.Target, api.TargetID("t-b")) // 100 ms x (1 + 2/8) x 3 is less than 400 ms
	is.True(b.Cost > 0.374 && b.Cost < 0.376 && a.Cost == 0.4)
	is.Equal(b.Outstanding, int64(2))
	is.Equal(x.Target.ID, choice.Selected)
	is.Equal(x.Target.ID, api.TargetID("t-b"))
	is.Equal(x.Chance, nil)
	is.Equal(x.Token.State, "waits")

	x = explain(t, n.Gateway, "/split", orgKey)
	is.Equal(x.Service, "orders")
	is.Equal(x.Route.Split, []api.ExplainedShare{{Service: "quotes", Share: 0.25}, {Service: "orders", Share: 0.75}})
	is.Equal(len(x.Chance), 1)
}

// Guards against a refusal by the gate that explain words or decides otherwise than the gate does.
func TestExplainFullGate(t *testing.T) {
	is := is.New(t)
	n := explainedNode(t, 0)
	n.change(func(v *api.View) { v.Peers = v.Peers[:1] })
	n.local.gate = gate.New(gate.Options{Slots: 1, QueueLength: 1, NoColdStart: true})
	is.Equal(explain(t, n.Gateway, "/orders", orgKey).Gate.Decision, "starts")
	_, err := n.local.gate.Acquire(t.Context(), "busy", 1)
	is.NoErr(err)
	is.Equal(explain(t, n.Gateway, "/orders", orgKey).Gate.Decision, "waits")
	go func() { _, _ = n.local.gate.Acquire(t.Context(), "busy", 1) }()
	for n.local.gate.Requests() < 2 {
		time.Sleep(time.Millisecond)
	}
	x := explain(t, n.Gateway, "/orders", orgKey)
	is.Equal(x.Gate.Decision, "refused")
	is.Equal(x.Gate.Running+x.Gate.Queued, 2)
	_, err = n.local.gate.Acquire(t.Context(), "acme", 1)
	is.Equal(x.Refusal, errkind.From(err))
	is.Equal(x.Then, thenRetry)

	n.local.gate = gate.New(gate.Options{Slots: 1, NoColdStart: true})
	slot, err := n.local.gate.Acquire(t.Context(), "busy", 1)
	is.NoErr(err)
	slot.Release(gate.Outcome{Latency: time.Second})
	_, err = n.local.gate.Acquire(t.Context(), "busy", 1)
	is.NoErr(err)
	x = explain(t, n.Gateway, "/orders", orgKey) // the wait of 1 s exceeds the objective
	is.Equal(x.Gate.WaitMs, 1000.0)
	is.Equal(x.Refusal.Kind, errkind.Overloaded)
	is.True(strings.HasPrefix(x.Refusal.Message, "estimated queue wait 1s exceeds"))
}

// Guards against an explanation that hides the canary targets of a roll-out, or that takes them for the usual ones.
func TestExplainCanaryPhase(t *testing.T) {
	is := is.New(t)
	v := versionedView(api.RolloutCanary)
	v.LeaseUntil = time.Now().Add(time.Hour)
	v.Configuration.Services.Services[0].Routes = []api.Route{{Prefix: "/orders", Open: true}}
	g := New(Options{View: func() *api.View { return v }, Tokens: noTokens{t}})
	before := counters()
	x := explain(t, g, "/orders", orgKey)
	is.Equal(x.Rollout.Phase, api.RolloutCanary)
	is.Equal(len(x.Choices), 2)
	old, canary := x.Choices[0], x.Choices[1]
	is.True(!old.Canary && canary.Canary)
	is.Equal(old.Targets, 58)
	is.Equal(canary.Targets, 3)
	is.True(canary.Share > 0.05 && canary.Share < 0.06 && old.Share+canary.Share == 1)
	is.Equal(x.Target.ID, old.Selected)
	is.True(strings.HasPrefix(string(old.Selected), "v1-") && strings.HasPrefix(string(canary.Selected), "v2-"))
	is.Equal(len(x.Chance), 3) // the share and two samples

	v.Peers = v.Peers[58:]
	v.Index = api.NewViewIndex(v)
	x = explain(t, g, "/orders", orgKey)
	is.Equal(x.Refusal.Kind, errkind.NoTarget)
	is.Equal(x.Choices[1].Targets, 3)
	is.Equal(counters(), before)
}

// Guards against explanations that count, take or remember something of real requests.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	n := explainedNode(t, 10)
	for range 8 {
		n.sizes.Observe("orders", "order", 100_000)
	}
	before, stats := counters(), n.local.gate.Snapshot()
	for range 20 {
		x := explain(t, n.Gateway, "/orders", orgKey)
		is.True(x.Link.Large && x.Link.SentAfterMs > 80 && x.Link.WaitMs == 0) // nothing stays booked
		explain(t, n.Gateway, "/quotes/k", orgKey)
		explain(t, n.Gateway, "/nothing", orgKey)
	}
	is.Equal(counters(), before)
	is.Equal(n.local.gate.Snapshot(), stats)
	is.Equal(n.egress.LargeWait(), time.Duration(0))
	is.Equal(len(n.loads.byTarget), 0)
	is.Equal(n.routes.table.Load(), nil)
	is.Equal(n.Running(), int64(0))
	_, known := n.latencies.byService.Load("orders")
	is.True(!known)
	is.True(n.retries.balance.Load() == initialBudget && n.hedges.balance.Load() == initialBudget)
}
