package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against requests that a process that ends drops without a response, or reports as not run although their
// target is at work on them: those that wait for an owner, for a slot here and over a hop, and at a target.
func TestRequestsThatAreGivenUpAreAnswered(t *testing.T) {
	stalled := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	cases := map[string]struct {
		prepare func(owner, entry *testNode)
		viaHop  bool
		kind    errkind.Kind
	}{
		"waits for an owner": {func(_, entry *testNode) {
			entry.change(func(v *api.View) {
				v.Assignments = ownedBy(nil, 0)
			})
		}, true, errkind.ShuttingDown},
		"waits for a slot":             {func(owner, _ *testNode) { fillGate(t, owner) }, false, errkind.ShuttingDown},
		"at the target":                {func(_, _ *testNode) {}, false, errkind.Unknown},
		"at the target of another one": {func(_, _ *testNode) {}, true, errkind.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			owner := newNode(t, "a", newTarget(t, stalled).addr(), config.Traffic{})
			entry := owner
			if c.viaHop {
				entry = newNode(t, "b", "", config.Traffic{})
			}
			connect(owner, owner, entry)
			c.prepare(owner, entry)
			ctx, giveUp := context.WithCancelCause(t.Context())
			r := httptest.NewRequestWithContext(ctx, "POST", "/quotes/k", strings.NewReader("x"))
			r.Header.Set("Authorization", "Bearer "+orgKey)
			w := httptest.NewRecorder()
			time.AfterFunc(100*time.Millisecond, func() { giveUp(errkind.New(errkind.ShuttingDown, "stops")) })
			began := time.Now()
			entry.CallerHandler().ServeHTTP(w, r)
			is.True(time.Since(began) < time.Second)
			is.Equal(errkind.Kind(w.Header().Get(errkind.HeaderKind)), c.kind)
		})
	}
}

// Guards against a hop whose attempt waits at the node that ends, and whose first node is not told that it has not run.
func TestHopThatIsGivenUpIsAnswered(t *testing.T) {
	is := is.New(t)
	owner := newNode(t, "a", newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }).addr(), config.Traffic{})
	connect(owner, owner)
	fillGate(t, owner)
	ctx, giveUp := context.WithCancelCause(t.Context())
	r := httptest.NewRequestWithContext(ctx, "POST", "/quotes/k", http.NoBody)
	v := owner.now.Load()
	segment := "k"
	p := v.Partition(v.Configuration.Services.Find("quotes"), segment)
	r.Header.Set(api.HeaderAttempt, "attempt")
	r.Header.Set(api.HeaderHop, api.Hop{Service: "quotes", Partition: p, Epoch: 7, Target: "t-a", Key: segment, DeadlineMs: 2000, ObjectiveMs: -1}.String())
	w := httptest.NewRecorder()
	time.AfterFunc(100*time.Millisecond, func() { giveUp(errkind.New(errkind.ShuttingDown, "stops")) })
	owner.InternalHandler().ServeHTTP(w, r)
	is.Equal(errkind.Kind(w.Header().Get(errkind.HeaderKind)), errkind.ShuttingDown)
	is.Equal(w.Header().Get(errkind.HeaderNotRun), "true")
}
