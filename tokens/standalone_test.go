package tokens

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against nodes without a leader that admit nothing, or together more than the rate and the
// burst of an organisation.
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
				Nodes:        func() int { return nodes },
			}))
		}
		_, err := accounts[0].Take(t.Context(), "o")
		is.Equal(errkind.Of(err), errkind.NoLease) // the leader may still issue to others
		time.Sleep(StandaloneAfter)
		admitted := 0
		for range 5000 { // ask far beyond the rate for 5 s
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

// Guards against a request that waits for tokens of a leader that is gone until it is refused.
func TestWaitingRequestTurnsToTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		org := &api.Organisation{ID: "o", Rate: 100, Burst: 50}
		a := NewAccount(AccountOptions{
			Organisation: func(api.OrganisationID) *api.Organisation { return org },
			Nodes:        func() int { return 2 },
		})
		began := time.Now()
		_, err := a.Take(t.Context(), "o")
		is.NoErr(err)
		is.True(time.Since(began) <= StandaloneAfter)
	})
}

// Guards against a leader that issues the share that silent nodes admit by themselves.
func TestReservedShareIsNotIssued(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	a := NewAuthority(start, time.Second, Tolerance{})
	a.SetOrganisations(start, []api.Organisation{{ID: "o", Rate: 100, Burst: 1000}})
	a.EndWait(start)
	a.Reserve(start, 0.25)
	status := a.Status(start.Add(2 * time.Second))
	is.Equal(status[0].Level, 150.0)
}

// Guards against a tolerance that is not applied to the rate or to the burst.
func TestTolerance(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	a := NewAuthority(start, time.Second, Tolerance{Share: 0.1, Slack: 20})
	a.SetOrganisations(start, []api.Organisation{{ID: "o", Rate: 100, Burst: 100}, {ID: "free"}})
	a.EndWait(start)
	is.Equal(math.Round(a.Status(start.Add(time.Second))[0].Level), 110.0)
	is.Equal(math.Round(a.Status(start.Add(time.Hour))[0].Level), 130.0)
	is.Equal(len(a.Status(start)), 1) // no limit, no bucket
}
