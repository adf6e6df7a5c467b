package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against requests of this node to a target that has said that it leaves, after the target's own node has
// restarted and forgotten it.
func TestDeparturesEndAfterTheirTime(t *testing.T) {
	is := is.New(t)
	d := departures{admitFor: 2 * time.Second}
	now := time.Now()
	is.True(!d.over("a", now))
	d.record("a", now)
	d.record("a", now.Add(time.Second)) // a later response does not prolong it
	is.True(!d.over("a", now.Add(1999*time.Millisecond)))
	is.True(d.over("a", now.Add(2*time.Second)))
	is.True(!d.over("b", now.Add(2*time.Second)))
	d.record("b", now.Add(2*departureRetention))
	is.Equal(len(d.since), 1)
	unlimited := departures{since: map[api.TargetID]time.Time{"a": now}}
	is.True(!unlimited.over("a", now.Add(time.Hour)))
}
