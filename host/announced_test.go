package host

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a leader that cannot tell a delayed announcement from a new one.
func TestReportsCarryTheLatestAnnouncement(t *testing.T) {
	is := is.New(t)
	w := newPullWorld(t)
	w.pull(api.Pull{})
	w.pull(api.Pull{Draining: true})
	report := w.c.r.Targets()[0]
	is.Equal(report.State, api.TargetDraining)
	is.Equal(report.Announced, uint64(2))
	w.c.r.MarkLeaving(w.a.ID)
	is.Equal(w.c.r.Targets()[0].Announced, uint64(api.FinalAnnouncement))
}
