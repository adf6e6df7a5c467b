package egress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetOutcome is what the requests for recordings at all links got.
type fleetOutcome struct{ all, inTime, useful, refused int }

// fleet replays requests for recordings: 156 a second, twice as many in bursts, at random over 14 links of 12 Mbit/s, with
// the objective and the deadline of plc. With admission, a refused request goes to three further targets at most, the last
// of which takes it if the deadline can be met.
func fleet(seed uint64, span time.Duration, admission bool) (o fleetOutcome) {
	const links, rate, step = 14, 156.0, time.Millisecond
	const objective, deadline, processing, hop = 600 * time.Millisecond, 4 * time.Second, 66 * time.Millisecond, 5 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	type request struct {
		begun, ready time.Time
		demand       Demand
		size         int64
	}
	epoch := time.Unix(1000, 0)
	schedulers := make([]*Scheduler, links)
	processed := make([][]request, links)
	sending := make([]map[*Transfer]request, links)
	for i := range links {
		schedulers[i], sending[i] = NewScheduler(12), make(map[*Transfer]request)
	}
	begin := func(now time.Time) {
		o.all++
		q := request{begun: now, size: recordingSize(r)}
		for try, i := range r.Perm(links)[:4] {
			start := now.Add(time.Duration(try) * hop)
			q.demand = Demand{Bytes: 91e3, Processing: processing, Latest: now.Add(objective)}
			q.ready = start.Add(processing/2 + time.Duration(r.Int64N(int64(processing))))
			if try == 3 {
				q.demand.Latest = now.Add(deadline)
			}
			if admission {
				if _, ok := schedulers[i].Reserve(start, q.demand); !ok {
					continue
				}
			}
			processed[i] = append(processed[i], q)
			return
		}
		o.refused++
	}
	advance := func(now time.Time, i int) {
		s := schedulers[i]
		waiting := processed[i][:0]
		for _, q := range processed[i] {
			if q.ready.After(now) {
				waiting = append(waiting, q)
				continue
			}
			t := &Transfer{Objective: q.begun.Add(objective), Deadline: q.begun.Add(deadline)}
			sending[i][t] = q
			s.Open(t, q.size)
			if admission {
				s.Release(q.demand)
			}
			s.Request(now, t, min(q.size, ChunkSize))
		}
		processed[i] = waiting
		for {
			t, _ := s.Next(now)
			if t == nil {
				return
			}
			q := sending[i][t]
			took := now.Add(duration(t.chunk, s.rate)).Sub(q.begun)
			if t.remaining > 0 && took <= deadline {
				s.Request(now, t, min(t.remaining, ChunkSize))
				continue
			}
			s.Close(t)
			delete(sending[i], t)
			if took <= objective {
				o.inTime++
			}
			if took <= deadline {
				o.useful++
			}
		}
	}
	for at := time.Duration(0); at < span; at += step {
		now := epoch.Add(at)
		share := 2.0
		if at%time.Second >= 300*time.Millisecond {
			share = (1 - 0.3*2) / 0.7
		}
		for gap := r.ExpFloat64(); gap < rate*share*step.Seconds(); gap += r.ExpFloat64() {
			begin(now)
		}
		if r.Float64() < 300*step.Seconds() {
			schedulers[r.IntN(links)].Count(now, smallSize)
		}
		for i := range links {
			advance(now, i)
		}
	}
	return o
}

// Guards against requests that run for a response that comes late over their target's link while other links are free.
func TestAdmissionTurnsToFreeLinks(t *testing.T) {
	is := is.New(t)
	var without, with fleetOutcome
	for seed := range uint64(5) {
		for _, sum := range []struct {
			total *fleetOutcome
			of    fleetOutcome
		}{{&without, fleet(seed, time.Minute, false)}, {&with, fleet(seed, time.Minute, true)}} {
			sum.total.all += sum.of.all
			sum.total.inTime += sum.of.inTime
			sum.total.useful += sum.of.useful
			sum.total.refused += sum.of.refused
		}
	}
	t.Logf("without admission %+v", without)
	t.Logf("with admission %+v", with)
	share := func(n int, o fleetOutcome) float64 { return float64(n) / float64(o.all) }
	is.True(share(with.inTime, with) > share(without.inTime, without))
	is.True(share(with.useful, with) > share(without.useful, without))
}

// Guards against reservations that are never returned or that count those of less urgent requests.
func TestReservations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewScheduler(8)
	perSecond := int64(s.rate)
	d := Demand{Bytes: perSecond / 2, Processing: 100 * time.Millisecond, Latest: now.Add(time.Second)}
	took, ok := s.Reserve(now, d)
	is.True(ok)
	is.Equal(took.Round(time.Millisecond), 600*time.Millisecond)
	_, ok = s.Reserve(now, d)
	is.True(!ok) // 1.1 s
	inner := d
	inner.Priority = -1
	_, ok = s.Reserve(now, inner)
	is.True(ok)
	is.Equal(s.Wait(now, 0).Round(time.Millisecond), time.Second)
	s.Release(d)
	s.Release(inner)
	is.Equal(s.Wait(now, 0), time.Duration(0))
	is.Equal(len(s.expected), 0)
	_, ok = s.Reserve(now, Demand{Bytes: 100 * perSecond})
	is.True(ok) // no limit
}

// Guards against routes whose few large responses do not count, and against sizes of another route or service.
func TestSizesByRoute(t *testing.T) {
	is := is.New(t)
	var s Sizes
	for i := range 100 {
		size := int64(10_000)
		if i%10 == 0 {
			size = 500_000
		}
		s.Observe("vault", "recording", size)
		s.Observe("vault", "caption", 300)
		s.Observe("ledger", "recording", 400)
	}
	mean, tail := s.Expected("vault", "recording")
	is.True(mean > 40_000 && mean < 80_000) // 59,000
	is.Equal(tail, int64(500_000))
	is.True(s.Large("vault", "recording"))
	is.True(!s.Large("vault", "caption"))
	is.True(!s.Large("ledger", "recording"))
	s.Observe("ledger", "new", 1<<20)
	is.True(!s.Large("ledger", "new")) // one response tells little
	for i := range maxRoutes {
		s.Observe("many", string(rune(i+1)), 1)
	}
	is.True(len(s.byRoute) <= maxRoutes)
}
