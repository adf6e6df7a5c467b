package tokens

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against nodes that, without a leader, admit nothing or together exceed the rate and burst of
// an organisation.
func TestNodesWithoutLeaderShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		org := &api.Organisation{ID: "o", Rate: 100, Burst: 50}
		const nodes = 5
		var accounts []*Account
		for range nodes {
			accounts = append(accounts, NewAccount(AccountOptions{
				Organisation: func(api.OrganisationID) *api.Organisation { return org },
				LeaseValid:   func() bool { return false },
				NodeCount:    func() int { return nodes },
			}))
		}
		_, err := accounts[0].Take(t.Context(), "o")
		is.Equal(errkind.Of(err), errkind.NoLease) // the leader may still issue to others
		time.Sleep(StandaloneAfter)
		admitted := 0
		for range 5000 { // requests far beyond the rate for 5 s
			for _, a := range accounts {
				if _, err := a.Take(t.Context(), "o"); err == nil {
					admitted++
				}
			}
			time.Sleep(time.Millisecond)
		}
		is.True(admitted <= 100*5+50)
		is.True(admitted >= 100*5*8/10)
	})
}

// Guards against a request that waits for tokens of a lost leader until it is refused, instead of
// being admitted from the local share.
func TestWaitingRequestUsesTheLocalShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		org := &api.Organisation{ID: "o", Rate: 100, Burst: 50}
		a := NewAccount(AccountOptions{
			Organisation: func(api.OrganisationID) *api.Organisation { return org },
			NodeCount:    func() int { return 2 },
		})
		began := time.Now()
		_, err := a.Take(t.Context(), "o")
		is.NoErr(err)
		is.True(time.Since(began) <= StandaloneAfter)
	})
}

// Guards against a leader that issues the part of a rate that nodes without contact admit by themselves.
func TestReservedPartIsNotIssued(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	a := NewAuthority(start, time.Second, Tolerance{})
	a.SetOrganisations(start, []api.Organisation{{ID: "o", Rate: 100, Burst: 1000}})
	a.StartIssuing(start)
	a.Reserve(start, nil, 1, 4)
	status := a.Status(start.Add(2 * time.Second))
	is.Equal(status[0].Level, 150.0)
}

// Guards against refusals within the rate while no leader issues tokens, for an organisation whose
// requests reach few nodes, and against nodes that together exceed the rate.
func TestNodesWithoutLeaderShareByDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		org := &api.Organisation{ID: "o", Rate: 100, Burst: 100}
		const nodes = 20
		leader := NewAuthority(time.Now(), time.Second, Tolerance{})
		leader.SetOrganisations(time.Now(), []api.Organisation{*org})
		leader.StartIssuing(time.Now())
		var accounts []*Account
		for range nodes {
			accounts = append(accounts, NewAccount(AccountOptions{
				Organisation: func(api.OrganisationID) *api.Organisation { return org },
				NodeCount:    func() int { return nodes },
			}))
		}
		busy := accounts[:2]
		sendRequests := func(each int) (admitted int) {
			for _, a := range busy {
				for range each {
					ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
					if _, err := a.Take(ctx, "o"); err == nil {
						admitted++
					}
					cancel()
				}
			}
			return admitted
		}
		for range 100 { // 10 s at 60 requests/s
			for i, a := range accounts {
				now := time.Now()
				a.Apply(1, leader.Report(now, api.SessionID(rune('a'+i)), a.Report()))
				a.RecordLeaderContact(now)
			}
			sendRequests(3)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(StandaloneAfter)
		admitted := 0
		for range 50 { // 5 s within the rate
			admitted += sendRequests(3)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(admitted >= 290) // of 300
		busy = accounts
		admitted = 0
		for range 500 { // 5 s far beyond the rate, at all nodes
			admitted += sendRequests(1)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(admitted <= 100*5+100)
	})
}

// Guards against a large fleet without a leader in which each node's part of the rate is less than one
// token: rounding down refuses most requests within the rate, rounding up exceeds the rate under
// overload.
func TestNodesWithLessThanOneTokenShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		org := &api.Organisation{ID: "o", Rate: 36, Burst: 36}
		const nodes = 81
		countAdmitted := func(perSecond int) (admitted int) {
			standalone := make([]standaloneBuckets, nodes)
			for i := range standalone {
				standalone[i] = standaloneBuckets{nodes: func() int { return nodes }, lastContact: time.Now(), hadLeader: true, buckets: map[api.OrganisationID]*localBucket{}}
			}
			time.Sleep(StandaloneAfter)
			for i := range 5 * perSecond {
				if standalone[i*29%nodes].take(time.Now(), org, 1.0/nodes, true) {
					admitted++
				}
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			return admitted
		}
		is.True(countAdmitted(22) >= 5*22*6/10) // within the rate
		// Far beyond the rate; the platform tolerates a tenth above rate and burst, plus 20 tokens.
		is.True(float64(countAdmitted(2000)) <= 1.1*(36*5+36)+20)
	})
}

// Guards against refusals of rare requests within the rate: the tokens of the whole time without a leader
// count, not only those until the node began to admit by itself.
func TestRareRequestsWithoutLeaderAreAdmitted(t *testing.T) {
	is := is.New(t)
	org := &api.Organisation{ID: "o", Rate: 36, Burst: 36}
	start := time.Unix(0, 0)
	for range 100 { // buckets begin with a random fraction of a token
		s := standaloneBuckets{nodes: func() int { return 81 }, lastContact: start, hadLeader: true, buckets: map[api.OrganisationID]*localBucket{}}
		is.True(s.take(start.Add(3*time.Second), org, 1.0/81, true)) // 0.4 tokens a second
	}
}

// Guards against a leader that issues the shares that it has sent to nodes now out of contact.
func TestSentShareIsReserved(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := NewAuthority(now, time.Minute, Tolerance{})
	a.SetOrganisations(now, []api.Organisation{{ID: "o", Rate: 100, Burst: 1000}})
	a.StartIssuing(now)
	report := func(session api.SessionID, arrivals int64) {
		a.Report(now, session, map[api.OrganisationID]api.TokenReport{"o": {Arrivals: arrivals}})
	}
	report("busy", 0)
	report("calm", 0)
	report("busy", 90)
	report("calm", 10)
	report("busy", 90) // the reply carries its share
	before := a.Status(now)[0].Level
	a.Reserve(now, []api.SessionID{"busy"}, 0, 4)
	now = now.Add(2 * time.Second)
	gained := a.Status(now)[0].Level - before
	is.True(math.Abs(gained-200*(1-(0.95*0.9+0.05/4))) < 0.5)
}

// Guards against a tolerance that is not applied to the rate or the burst.
func TestToleranceRaisesRateAndBurst(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	a := NewAuthority(start, time.Second, Tolerance{Share: 0.1, Slack: 20})
	a.SetOrganisations(start, []api.Organisation{{ID: "o", Rate: 100, Burst: 100}, {ID: "free"}})
	a.StartIssuing(start)
	is.Equal(math.Round(a.Status(start.Add(time.Second))[0].Level), 110.0)
	is.Equal(math.Round(a.Status(start.Add(time.Hour))[0].Level), 130.0)
	is.Equal(len(a.Status(start)), 1) // no limit, no bucket
}
