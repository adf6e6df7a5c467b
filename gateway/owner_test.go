package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
)

// Guards against a request that waits until its deadline although its owner became ready long
// before: the first node received the map some heartbeats earlier than the owner's node.
func TestOwnerReceivesItsGrantLate(t *testing.T) {
	is := is.New(t)
	a := newNode(t, "a", "", config.Traffic{})
	b := newNode(t, "b", newTarget(t, echoOK).addr(), config.Traffic{})
	connect(b, a, b)
	granted := b.now.Load().Assignments
	b.change(func(v *api.View) {
		v.Assignments = api.NewAssignmentTable(api.Assignments{"quotes": make([]api.Assignment, 4)})
	})
	const late = 300 * time.Millisecond
	time.AfterFunc(late, func() { b.change(func(v *api.View) { v.Assignments = granted }) })
	begin := time.Now()
	got := a.call(t, "POST", "/quotes/k", "x")
	is.Equal(got.status, http.StatusOK)
	is.True(time.Since(begin) < late+2*maxOwnerBackoff+500*time.Millisecond)
}
