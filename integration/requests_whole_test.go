package integration

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/internal/cluster"
	"github.com/zinniapier/zinniapier/target"
)

const (
	largeAnswer = 4 << 20
	// hugeAnswer is more than the socket buffers of a path hold, so that a paused caller stops
	// it in the middle of every hop.
	hugeAnswer = 48 << 20
)

// TestLargeAnswersAreWhole guards against an answer that ends early and looks complete to the
// caller: the target ends it before its stated length, or dies while it is under way, or the
// owner's node dies, at the caller's node or across a hop.
func TestLargeAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	far := targetsOf(c, "quotes")[1]
	dying := sampleHere(t, c.Nodes[1], target.SampleOptions{Service: "quotes", ChecksGrants: true, Warm: true})
	awaitRuns(t, c, key, []*target.Sample{dying})
	path := keyOwnedBy(t, c.Nodes[0], key, instanceOf(far))
	dyingPath := keyOwnedBy(t, c.Nodes[0], key, dying.ID())

	far.SetBehaviour(target.Behaviour{AnswerBytes: largeAnswer})
	for _, n := range c.Nodes {
		a := fetch(n, path, key, "whole", nil)
		is.True(!a.check(t, "whole", largeAnswer)) // a large answer without a fault arrives whole
	}
	far.SetBehaviour(target.Behaviour{AnswerBytes: largeAnswer, ShortAnswer: true})
	errors := 0
	for i := range 10 {
		if fetch(c.Nodes[i%2], path, key, "short", nil).check(t, "short", largeAnswer) {
			errors++
		}
	}
	t.Logf("measure: short_answers_seen_as_error=%d of 10 requests", errors)
	is.Equal(errors, 10)

	far.SetBehaviour(target.Behaviour{})
	is.NoErr(dying.SetBehaviour(target.Behaviour{AnswerBytes: hugeAnswer}))
	is.Equal(cutInFlight(t, c, dyingPath, key, hugeAnswer, func() { is.NoErr(dying.Kill()) }), 2) // target died
	awaitGranted(t, c, readyLimit)
	path = keyOwnedBy(t, c.Nodes[0], key, instanceOf(far)) // the death may have moved the key
	far.SetBehaviour(target.Behaviour{AnswerBytes: hugeAnswer})
	is.Equal(cutInFlight(t, c, path, key, hugeAnswer, c.Nodes[1].Kill), 2) // owner's node died
}

// cutInFlight fetches an answer at each node, breaks something while all are under way, and
// returns how many callers saw an error.
func cutInFlight(t *testing.T, c *cluster.Cluster, path, key string, padding int, breakIt func()) (errors int) {
	t.Helper()
	var arrived, done sync.WaitGroup
	arrived.Add(len(c.Nodes))
	broken := make(chan struct{})
	answers := make([]*rawAnswer, len(c.Nodes))
	for i, n := range c.Nodes {
		done.Go(func() {
			once := sync.OnceFunc(arrived.Done)
			answers[i] = fetch(n, path, key, "cut", func() {
				once()
				<-broken
			})
			once()
		})
	}
	arrived.Wait()
	breakIt()
	close(broken)
	done.Wait()
	for i, a := range answers {
		t.Logf("measure: cut_answer_received_at_node_%d=%d bytes (error: %v)", i+1, len(a.body), a.err)
		if a.status != http.StatusOK {
			t.Errorf("the answer had not begun: status %d, %s", a.status, a.kind())
		}
		if a.check(t, "cut", padding) {
			errors++
		}
	}
	return errors
}

// TestChunkedAnswersAreWhole guards against an answer without a stated length that breaks off
// and looks complete, at the caller's node or across a hop.
func TestChunkedAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	id := wrappedTarget(t, c.Nodes[1], "quotes", chunked)
	awaitOwner(t, c, key, id)
	path := keyOwnedBy(t, c.Nodes[0], key, id)
	errors := 0
	for i := range 20 {
		n, request := c.Nodes[i%2], "chunked-"+strconv.Itoa(i)
		is.True(!fetch(n, path, key, request, nil).check(t, request, 0)) // arrives whole
		if fetch(n, path+"?cut", key, request, nil).check(t, request, 0) {
			errors++
		}
	}
	t.Logf("measure: cut_chunked_answers_seen_as_error=%d of 20 requests", errors)
	is.Equal(errors, 20)
}

// chunked passes answers on in two chunks. With the query "cut" it breaks off after the first.
func chunked(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := httptest.NewRecorder()
		inner.ServeHTTP(whole, r)
		for name, values := range whole.Header() {
			w.Header()[name] = values
		}
		w.Header().Del("Content-Length")
		w.WriteHeader(whole.Code)
		body := whole.Body.Bytes()
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		if r.URL.RawQuery == "cut" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body[len(body)/2:])
	})
}
