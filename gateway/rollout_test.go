package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

// versionedView returns a view of the service "orders" with 58 targets of v1 and as many of v2, three of them canary
// targets with the load of an average target each.
func versionedView(phase api.RolloutPhase) *api.View {
	r := api.Rollout{ID: "r", Service: "orders", Version: "v2", Phase: phase, Share: 3.0 / 58, Canary: []api.TargetID{"v2-0", "v2-1", "v2-2"}}
	if phase == api.RolloutCompleted {
		r.Retired = []string{"v1"}
	}
	c := &api.Configuration{Services: api.Services{Services: []api.Service{{Name: "orders"}}}, Rollouts: []api.Rollout{r}}
	v := &api.View{Configuration: c}
	for _, version := range []string{"v1", "v2"} {
		for i := range 58 {
			id := fmt.Sprintf("%s-%d", version, i)
			v.Peers = append(v.Peers, api.Peer{Session: api.SessionID(id), Targets: []api.PeerTarget{
				{ID: api.TargetID(id), Service: "orders", Version: version, Slots: 9, State: api.TargetServing},
			}})
		}
	}
	v.Index = api.NewViewIndex(v)
	return v
}

// chosenVersions returns how many of n choices took targets of each version.
func chosenVersions(t *testing.T, v *api.View, n int, tried ...api.TargetID) map[string]int {
	t.Helper()
	g := New(Options{View: func() *api.View { return v }})
	c := &call{service: &v.Configuration.Services.Services[0], body: &body{}}
	got := make(map[string]int)
	for range n {
		p, e := g.choose(v, c, tried)
		if e != nil {
			t.Fatal(e)
		}
		got[string(p.target[:2])]++
		if p.target[:2] == "v2" && v.Configuration.Rollouts[0].Phase == api.RolloutCanary {
			got[string(p.target)]++
		}
	}
	return got
}

// Guards against a version that is not yet judged and gets more than its share: in sum, at single targets, or by the
// retries and hedges of requests that it failed.
func TestShareOfCanaries(t *testing.T) {
	is := is.New(t)
	const n = 50_000
	v := versionedView(api.RolloutCanary)
	got := chosenVersions(t, v, n)
	is.True(got["v2"] > 4*n/100 && got["v2"] < 7*n/100) // the share is 5.2 %
	for _, id := range []string{"v2-0", "v2-1", "v2-2"} {
		is.True(got[id] > n/100 && got[id] < 3*n/100)
	}
	is.Equal(chosenVersions(t, v, n, "v2-0")["v2"], 0) // a retry
	is.Equal(chosenVersions(t, v, n, "v1-0")["v2"], 0) // a hedge
	v.Peers = v.Peers[:58]
	v.Index = api.NewViewIndex(v)
	is.Equal(chosenVersions(t, v, n)["v1"], n) // no canary target is left
}

// Guards against requests to versions that get none in a phase.
func TestVersionsByPhase(t *testing.T) {
	is := is.New(t)
	const n = 5000
	for phase, version := range map[api.RolloutPhase]string{
		api.RolloutStarting: "v1", api.RolloutRolledBack: "v1", api.RolloutSwitching: "v2", api.RolloutCompleted: "v2",
	} {
		is.Equal(chosenVersions(t, versionedView(phase), n), map[string]int{version: n}) // by phase
	}
}

// Guards against a fallback to targets that the roll-out does not admit, or admits for a share only.
func TestNoAdmittedTarget(t *testing.T) {
	is := is.New(t)
	for phase, left := range map[api.RolloutPhase]int{api.RolloutSwitching: 0, api.RolloutCompleted: 0, api.RolloutCanary: 58, api.RolloutRolledBack: 58} {
		v := versionedView(phase)
		v.Peers = v.Peers[left : left+58]
		v.Index = api.NewViewIndex(v)
		g := New(Options{View: func() *api.View { return v }})
		_, e := g.choose(v, &call{service: &v.Configuration.Services.Services[0], body: &body{}}, []api.TargetID{"v9"})
		is.True(e != nil) // by phase
		is.Equal(e.Kind, errkind.NoTarget)
		is.True(e.NotRun)
	}
}

// Guards against counts that grow without bound, or that are lost, with many routes, targets and roll-outs.
func TestOutcomeCounts(t *testing.T) {
	is := is.New(t)
	var counts outcomeCounts
	configuration := &api.Configuration{Rollouts: []api.Rollout{{ID: "r1", Service: "orders", Phase: api.RolloutCanary}}}
	o := attemptOutcome{rollout: "r1", service: "orders", target: "t", version: "v2"}
	for i := range 100 {
		o.route, o.failed, o.latency = strconv.Itoa(i), i%2 == 0, time.Duration(i)*10*time.Millisecond
		counts.add(o)
		counts.add(o)
	}
	got := counts.current(configuration)
	is.Equal(len(got), 1)
	is.Equal(got[0].Rollout, "r1")
	is.Equal(got[0].Version, "v2")
	is.Equal(len(got[0].Routes), maxOutcomeRoutes)
	is.Equal(got[0].Routes[0].Route, "")
	is.Equal(got[0].Routes[0].Responses, uint64(2*(100-maxOutcomeRoutes+1)))
	var sum api.RouteOutcome
	slow := uint64(0)
	for _, r := range got[0].Routes {
		sum.Responses += r.Responses
		sum.Failures += r.Failures
		for _, n := range r.Latencies {
			slow += n
		}
	}
	is.Equal(sum.Responses, uint64(200))
	is.Equal(sum.Failures, uint64(100))
	is.Equal(slow, uint64(198)) // one route has no latency

	for i := range 2 * maxOutcomeTargets {
		o.target = api.TargetID(strconv.Itoa(i))
		counts.add(o)
	}
	is.Equal(len(counts.current(configuration)), maxOutcomeTargets)
	configuration.Rollouts[0].ID = "r2"
	is.Equal(len(counts.current(configuration)), 0) // another roll-out
	o.rollout = "r2"
	counts.add(o)
	is.Equal(len(counts.current(configuration)), 1)
	configuration.Rollouts[0].Phase = api.RolloutRolledBack
	is.Equal(len(counts.current(configuration)), 0)
	configuration.Rollouts[0].Phase = api.RolloutCanary
	is.Equal(len(counts.current(configuration)), 0) // dropped for good
}

// outcomeNodes returns the node of a target whose service has a running roll-out, and the node that callers use.
func outcomeNodes(t *testing.T, viaHop bool, f http.HandlerFunc) (owner, entry *testNode) {
	t.Helper()
	none := 0.0
	owner, entry, all := newLeftNodes(t, newTarget(t, f).addr(), viaHop, config.Traffic{Attempts: 1, RetryShare: &none, HedgeShare: &none})
	owner.local.info.Version = "v1"
	for _, n := range all {
		n.change(func(v *api.View) {
			c := *v.Configuration
			c.Rollouts = []api.Rollout{{ID: "r", Service: "orders", Version: "v2", Phase: api.RolloutStarting}}
			c.Services.Services = append([]api.Service(nil), c.Services.Services...)
			c.Services.Services[1].Routes = []api.Route{{Prefix: "/orders", Name: "place-order"}}
			v.Configuration = &c
		})
	}
	return owner, entry
}

// Guards against outcomes that are missed, counted at another node or under another route, and against those that
// say nothing about the target.
func TestOutcomesOfAttempts(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	type want struct{ responses, failures, latencies uint64 }
	for name, test := range map[string]struct {
		target http.HandlerFunc
		want   want
		cold   bool
	}{
		"ok":      {echoOK, want{1, 0, 1}, false},
		"cold":    {echoOK, want{1, 0, 0}, true},
		"missing": {status(http.StatusNotFound), want{1, 0, 1}, false},
		"failed":  {status(http.StatusInternalServerError), want{1, 1, 1}, false},
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderShed, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, want{0, 0, 0}, false},
		"broken": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want{1, 1, 0}, false},
		"short": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 60_000))
			panic(http.ErrAbortHandler)
		}, want{1, 1, 1}, false},
		"hangs": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, want{1, 1, 0}, false},
		"stops": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "100")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, want{1, 1, 1}, false},
	} {
		for _, viaHop := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/hop=%t", name, viaHop), func(t *testing.T) {
				is := is.New(t)
				owner, entry := outcomeNodes(t, viaHop, test.target)
				if test.cold {
					owner.local.gate = gate.New(gate.Options{Slots: 8})
				}
				entry.call(t, "GET", "/orders", "", api.HeaderDeadlineMs, "400")
				if test.want.responses == 0 {
					is.Equal(len(owner.Outcomes()), 0)
					return
				}
				got := eventualOutcome(t, owner)
				is.Equal(got.Target, owner.local.info.ID)
				is.Equal(got.Version, "v1")
				is.Equal(got.Routes[0].Route, "place-order")
				latencies := uint64(0)
				for _, n := range got.Routes[0].Latencies {
					latencies += n
				}
				is.Equal(want{got.Routes[0].Responses, got.Routes[0].Failures, latencies}, test.want)
				if viaHop {
					is.Equal(len(entry.Outcomes()), 0)
				}
			})
		}
	}
}

// eventualOutcome returns the only counts of the node, which may follow the response.
func eventualOutcome(t *testing.T, n *testNode) api.TargetOutcomes {
	t.Helper()
	for range 1000 {
		if got := n.Outcomes(); len(got) == 1 && len(got[0].Routes) == 1 {
			return got[0]
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("outcomes %v", n.Outcomes())
	return api.TargetOutcomes{}
}

// Guards against callers that leave and make a version look bad.
func TestCallerThatLeavesIsNoOutcome(t *testing.T) {
	for _, viaHop := range []bool{false, true} {
		t.Run(fmt.Sprintf("hop=%t", viaHop), func(t *testing.T) {
			is := is.New(t)
			arrived, ended := make(chan bool), make(chan bool)
			owner, entry := outcomeNodes(t, viaHop, func(_ http.ResponseWriter, r *http.Request) {
				arrived <- true
				<-r.Context().Done()
				ended <- true
			})
			ctx, leave := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, "GET", entry.caller.URL+"/orders", nil)
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+orgKey)
			go func() {
				<-arrived
				leave()
			}()
			_, err = http.DefaultTransport.RoundTrip(req)
			is.True(err != nil)
			<-ended
			for range 1000 {
				if owner.Running() == 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			is.Equal(owner.Running(), int64(0))
			is.Equal(len(owner.Outcomes()), 0)
		})
	}
}
