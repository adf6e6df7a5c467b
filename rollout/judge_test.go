package rollout

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// service emulates the targets of a service during a roll-out, and counts as their nodes do.
type service struct {
	random  *rand.Rand
	counts  *Counts
	now     time.Time
	began   time.Time
	phase   api.RolloutPhase
	targets []*target
	// rate is the requests per second of a usual target by route.
	rate map[string]float64
	// failing and slow return the proportions for a target at a time after the beginning.
	failing func(t *target, route string, at time.Duration) float64
	slow    func(t *target, route string, at time.Duration) float64
}

type target struct {
	id     api.TargetID
	isNew  bool
	share  float64 // of the usual load
	routes map[string]*api.RouteOutcome
	// slowUntil and nextSlow are the present and next slow spell, which every target has a fifth of the time.
	slowUntil, nextSlow time.Time
}

const (
	testOld  = 56
	median   = 90 * time.Millisecond
	testStep = 100 * time.Millisecond
)

func newService(seed int64, canaries int) *service {
	s := &service{random: rand.New(rand.NewSource(seed)), counts: NewCounts("v2", Limits{}.OrDefault()), now: time.Unix(1000, 0), phase: api.RolloutCanary}
	s.began = s.now
	s.rate = map[string]float64{"browse": 15, "book": 6, "status": 2}
	none := func(*target, string, time.Duration) float64 { return 0 }
	s.failing, s.slow = none, none
	for i := range testOld + canaries {
		t := &target{id: api.TargetID(fmt.Sprint("t", i)), isNew: i >= testOld, share: 1, routes: make(map[string]*api.RouteOutcome)}
		t.nextSlow = s.now.Add(time.Duration(s.random.Float64() * 2.5 * float64(time.Second)))
		s.targets = append(s.targets, t)
	}
	return s
}

// run replays the load for d and returns the first bad verdict, and the bad responses of new targets by then.
func (s *service) run(d time.Duration) (v Verdict, bad uint64) {
	compared := 0
	for _, t := range s.targets {
		if t.isNew {
			compared++
		}
	}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(testStep) {
		s.counts.Observe(s.now, s.phase)
		for _, t := range s.targets {
			s.respond(t)
		}
		if v := s.counts.Judge(s.now, s.phase, compared); v.Bad {
			return v, s.badResponses()
		}
	}
	return Verdict{}, s.badResponses()
}

func (s *service) badResponses() (n uint64) {
	for _, t := range s.targets {
		for _, o := range t.routes {
			if t.isNew {
				n += o.Failures
			}
		}
	}
	return n
}

func (s *service) respond(t *target) {
	if !s.now.Before(t.nextSlow) {
		t.slowUntil = s.now.Add(500 * time.Millisecond)
		t.nextSlow = s.now.Add(time.Duration((1.5 + 2*s.random.Float64()) * float64(time.Second)))
	}
	version := "v1"
	if t.isNew {
		version = "v2"
	}
	out := api.TargetOutcomes{Target: t.id, Version: version}
	for _, route := range slices.Sorted(maps.Keys(s.rate)) {
		rate := s.rate[route]
		o := t.routes[route]
		if o == nil {
			o = &api.RouteOutcome{Route: route}
			t.routes[route] = o
		}
		mean := rate * t.share * testStep.Seconds()
		for n := s.random.ExpFloat64() / mean; n < 1; n += s.random.ExpFloat64() / mean {
			s.respondOnce(t, route, o)
		}
		out.Routes = append(out.Routes, *o)
	}
	s.counts.Record(&out)
}

func (s *service) respondOnce(t *target, route string, o *api.RouteOutcome) {
	at := s.now.Sub(s.began)
	o.Responses++
	if s.random.Float64() < s.failing(t, route, at) {
		o.Failures++
	}
	latency := median * time.Duration(60+s.random.Intn(80)) / 100
	if s.now.Before(t.slowUntil) {
		latency *= 3
	}
	if s.random.Float64() < s.slow(t, route, at) {
		latency *= 5
	}
	o.Latencies[api.LatencyBucket(latency)]++
}

// Guards against the rollback of a good version: in ordinary operation, with slow spells of single targets, on a day on
// which a dependency fails for everyone in bursts, and with a single faulty new target.
func TestGoodVersionIsKept(t *testing.T) {
	for name, prepare := range map[string]func(*service){
		"usual": func(*service) {},
		"bad day": func(s *service) {
			s.failing = func(_ *target, _ string, at time.Duration) float64 {
				if at%(3*time.Second) < time.Second {
					return 0.5
				}
				return 0.02
			}
		},
		"overload": func(s *service) {
			s.slow = func(_ *target, _ string, at time.Duration) float64 { return min(at.Seconds()/10, 0.9) }
			s.failing = func(_ *target, _ string, at time.Duration) float64 { return min(at.Seconds()/40, 0.3) }
		},
		"sick new target": func(s *service) {
			sick := s.targets[len(s.targets)-1]
			s.failing = func(t *target, _ string, _ time.Duration) float64 {
				if t == sick {
					return 0.7
				}
				return 0
			}
			s.slow = s.failing
		},
		"different keys": func(s *service) {
			for i, t := range s.targets {
				t.share = 0.4 + 1.2*float64(i%5)/4
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(20) {
				s := newService(seed, 3)
				prepare(s)
				if v, _ := s.run(10 * time.Second); v.Bad {
					t.Fatalf("seed %d, after %v: %s", seed, s.now.Sub(s.began), v.Reason)
				}
			}
		})
	}
}

// Guards against a bad version that is found too late: 5 s after its 50th bad response it may get nothing. Failures are to be
// found before the 50th, and slowness, with more bad responses a second, within 5 s.
func TestBadVersionIsFound(t *testing.T) {
	const late = 4 * time.Second
	for name, c := range map[string]struct {
		prepare func(*service)
		within  time.Duration // after it turns bad
		reason  string
	}{
		"at once":       {func(s *service) { s.failing = badNew(0, "", 0.3) }, 3 * time.Second, "failures"},
		"late":          {func(s *service) { s.failing = badNew(late, "", 0.3) }, late + 4*time.Second, "failures"},
		"on one route":  {func(s *service) { s.failing = badNew(0, "book", 0.4) }, 8 * time.Second, "failures"},
		"by slowness":   {func(s *service) { s.slow = badNew(0, "", 0.9) }, 5 * time.Second, "slow responses"},
		"late slowness": {func(s *service) { s.slow = badNew(late, "", 0.9) }, late + 5*time.Second, "slow responses"},
		"on a bad day": {func(s *service) {
			bad := badNew(0, "", 0.5)
			s.failing = func(t *target, route string, at time.Duration) float64 { return 0.05 + bad(t, route, at) }
		}, 3 * time.Second, "failures"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(20) {
				s := newService(seed, 3)
				c.prepare(s)
				v, bad := s.run(c.within)
				if !v.Bad || bad > 50 || !strings.Contains(v.Reason, c.reason) {
					t.Fatalf("seed %d, after %v: %+v, %d bad responses", seed, s.now.Sub(s.began), v, bad)
				}
			}
		})
	}
}

// badNew returns a proportion that new targets have from a time on, on one route or all.
func badNew(from time.Duration, only string, proportion float64) func(*target, string, time.Duration) float64 {
	return func(t *target, route string, at time.Duration) float64 {
		if !t.isNew || at < from || only != "" && route != only {
			return 0
		}
		return proportion
	}
}

// Guards against a judgement from too few requests, and against one without any of the old version to compare with.
func TestTooFewRequestsToTell(t *testing.T) {
	is := is.New(t)
	s := newService(1, 3)
	s.rate = map[string]float64{"browse": 0.1}
	s.failing = badNew(0, "", 1)
	v, bad := s.run(10 * time.Second)
	is.True(!v.Bad)
	is.True(bad < minEvents)

	s = newService(1, 3)
	s.targets = s.targets[testOld:]
	s.failing = badNew(0, "", 1)
	v, _ = s.run(5 * time.Second)
	is.True(!v.Bad)
}

// Guards against a version that turns bad under load only, when the old targets get no requests any more, and against
// the rollback of a good one by the slowness of moving keys.
func TestJudgementDuringTheSwitch(t *testing.T) {
	is := is.New(t)
	for seed := range int64(10) {
		for _, turnsBad := range []bool{true, false} {
			s := newService(seed, testOld)
			for _, t := range s.targets[testOld+3:] {
				t.share = 0.0001
			}
			v, _ := s.run(4 * time.Second)
			is.True(!v.Bad)
			s.phase, s.began = api.RolloutSwitching, s.now
			for _, t := range s.targets {
				t.share = 1
				if !t.isNew {
					t.share = 0.0001
				}
			}
			s.slow, s.failing = badNew(0, "", 0.25), badNew(0, "", 0.07)
			if turnsBad {
				s.failing = badNew(0, "", 0.3)
			}
			v, _ = s.run(2 * time.Second)
			is.Equal(v.Bad, turnsBad)
		}
	}
}

// Guards against counts of a restarted node process that are taken for fewer requests, and against a node that names
// ever more routes.
func TestCountsOfRestartedNode(t *testing.T) {
	is := is.New(t)
	c := NewCounts("v2", Limits{}.OrDefault())
	record := func(n, failures uint64) {
		c.Record(&api.TargetOutcomes{Target: "t", Version: "v2", Routes: []api.RouteOutcome{{Route: "r", Responses: n, Failures: failures}}})
	}
	record(10, 2)
	record(15, 3)
	record(4, 1)
	total := c.since(nil, true)["t"]["r"]
	is.Equal(total.Responses, uint64(19))
	is.Equal(total.Failures, uint64(4))
	for i := range 2 * MaxRoutes {
		c.Record(&api.TargetOutcomes{Target: "t", Version: "v2", Routes: []api.RouteOutcome{{Route: fmt.Sprint(i), Responses: 1}}})
	}
	is.Equal(len(c.cells), MaxRoutes)
}
