package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a target that loses keys because its loop read the view before a pull did and applies it after:
// the grants that the later view has added are revoked.
func TestEarlierViewIsNotAppliedAfterALaterOne(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.own(api.Granted, 5)
	w.pull(api.Pull{})
	earlier := w.c.view.Load()
	w.own(api.Granted, 5, 6)
	both := []api.RangeGrant{row(0, 99, 5, "from-5"), row(100, 199, 6, "from-6")}
	is.Equal(w.pull(api.Pull{}).Grants, both)
	w.c.r.Lookup(w.a.ID).applyView(earlier, time.Now())
	is.Equal(w.pull(api.Pull{}).Grants, both)
}
