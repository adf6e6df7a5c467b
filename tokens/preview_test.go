package tokens

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a preview that takes a token or counts as demand, and against one that differs from what Take does.
func TestPreviewTakesNothing(t *testing.T) {
	is := is.New(t)
	a := newTestAccount(&fakeClock{now: time.Unix(1000, 0)}, func() { t.Error("a heartbeat was requested") })
	waits, err := a.Preview(acme)
	is.True(waits && err == nil) // no token was ever issued here
	is.Equal(len(a.orgs), 0)
	issue(a, 1, 1)
	for range 3 {
		waits, err = a.Preview(acme)
		is.True(!waits && err == nil)
	}
	is.Equal(a.account(acme).free, int64(1))
	is.Equal(a.account(acme).sessionArrivals, int64(0))
	a.Apply(1, map[api.OrganisationID]api.TokenReply{acme: {Issued: 1, Exhausted: true}})
	a.account(acme).free = 0
	_, err = a.Preview(acme)
	_, taken := a.Take(t.Context(), acme)
	is.Equal(err.Error(), taken.Error())
	is.Equal(errkind.Of(err), errkind.RateLimited)
}
