package tokens

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a new leader that issues nothing until the lease of the last silent node has ended, and
// against one that issues more than the rate on top of what an earlier leader may have issued.
func TestNewLeaderIssuesForWaitingRequests(t *testing.T) {
	is := is.New(t)
	const rate, burst, lease = 20.0, 20.0, 5 * time.Second
	start := time.Now()
	a := NewAuthority(start, lease, Tolerance{})
	a.SetOrganisations(start, []api.Organisation{{ID: "org", Rate: rate, Burst: burst}})
	issued := map[api.SessionID]int64{}
	count := int64(0)
	report := func(now time.Time, s api.SessionID, demand, waiting int64) {
		r := api.TokenReport{Issued: issued[s], Settled: issued[s], Demand: demand, Waiting: waiting, Arrivals: issued[s] + waiting}
		replies := a.Report(now, s, map[api.OrganisationID]api.TokenReport{"org": r})
		count += replies["org"].Issued - issued[s]
		issued[s] = replies["org"].Issued
	}
	report(start, "s1", 5, 0)
	report(start.Add(2*time.Second), "s1", 5, 0)
	is.Equal(count, int64(0)) // nothing for requests that are only expected
	for ms := 2000; ms < 5000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		report(now, api.SessionID([]string{"s1", "s2"}[ms/10%2]), 40, 40) // the nodes take turns
		is.True(float64(count) <= rate*float64(ms-2000)/1000+rate*earlyFillTime.Seconds()+1)
	}
	is.True(float64(count) >= 0.9*rate*3)
	is.True(issued["s1"] > 20 && issued["s2"] > 20) // both get their part
}

// Guards against early tokens for the part of a rate that is reserved for nodes without contact.
func TestEarlyTokensLeaveReservedPart(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	a := NewAuthority(start, 5*time.Second, Tolerance{})
	a.Reserve(start, nil, 1, 2)
	a.SetOrganisations(start, []api.Organisation{{ID: "org", Rate: 20, Burst: 20}})
	issued := int64(0)
	for ms := 0; ms < 4000; ms += 10 {
		r := api.TokenReport{Issued: issued, Settled: issued, Demand: 40, Waiting: 40}
		issued = a.Report(start.Add(time.Duration(ms)*time.Millisecond), "s1", map[api.OrganisationID]api.TokenReport{"org": r})["org"].Issued
	}
	is.True(issued >= 35 && issued <= 42) // half of 20 a second
}
