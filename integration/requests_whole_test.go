package integration

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
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
	dying := sampleHere(t, c.Nodes[1], target.SampleOptions{Service: "quotes", ChecksGrants: true, Warm: true})
	awaitRuns(t, c, key, []*target.Sample{dying})
	set := func(b target.Behaviour) {
		behaviour(c, b)
		is.NoErr(dying.SetBehaviour(b))
	}

	set(target.Behaviour{AnswerBytes: largeAnswer})
	for _, n := range c.Nodes {
		a := fetch(n, "/quotes/crane", key, "whole", nil)
		is.True(!a.check(t, "whole", largeAnswer)) // a large answer without a fault arrives whole
	}
	set(target.Behaviour{AnswerBytes: largeAnswer, ShortAnswer: true})
	errors := 0
	for i := range 10 {
		if fetch(c.Nodes[i%2], "/quotes/crane", key, "short", nil).check(t, "short", largeAnswer) {
			errors++
		}
	}
	t.Logf("measure: short_answers_seen_as_error=%d of 10 requests", errors)
	is.Equal(errors, 10)

	is.Equal(cutInFlight(t, c, key, dying.ID(), set, func() { is.NoErr(dying.Kill()) }), 2)
	far := targetsOf(c, "quotes")[1]
	is.Equal(cutInFlight(t, c, key, instanceOf(far), set, c.Nodes[1].Kill), 2) // the owner's node died
}

// cutInFlight fetches an answer of the instance at each node, breaks something while all are
// under way, and returns how many callers saw an error. A key that moves to another target
// meanwhile, as its load may make it do, is replaced.
func cutInFlight(t *testing.T, c *cluster.Cluster, key string, owner api.TargetID, set func(target.Behaviour), breakIt func()) (errors int) {
	t.Helper()
	for range 5 {
		set(target.Behaviour{})
		path := keyOwnedBy(t, c.Nodes[0], key, owner)
		set(target.Behaviour{AnswerBytes: hugeAnswer})
		answers, broken := fetchAndBreak(c, path, key, owner, breakIt)
		if !broken {
			continue
		}
		for i, a := range answers {
			t.Logf("measure: cut_answer_received_at_node_%d=%d bytes (error: %v)", i+1, len(a.body), a.err)
			if a.check(t, "cut", hugeAnswer) {
				errors++
			}
		}
		return errors
	}
	t.Fatalf("no key stays with %s", owner)
	return 0
}

// fetchAndBreak breaks something once an answer of the owner has begun at each node. It breaks
// nothing when one of them is of another target.
func fetchAndBreak(c *cluster.Cluster, path, key string, owner api.TargetID, breakIt func()) (answers []*rawAnswer, broken bool) {
	var begun, done sync.WaitGroup
	goOn := make(chan struct{})
	answers = make([]*rawAnswer, len(c.Nodes))
	var fromOwner atomic.Int64
	for i, n := range c.Nodes {
		begun.Add(1)
		done.Go(func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			answers[i] = fetch(n, path, key, "cut", func(first []byte) {
				if strings.Contains(string(first), string(owner)) {
					fromOwner.Add(1)
				}
				once()
				<-goOn
			})
		})
	}
	begun.Wait()
	broken = fromOwner.Load() == int64(len(c.Nodes))
	if broken {
		breakIt()
	}
	close(goOn)
	done.Wait()
	return answers, broken
}

// TestChunkedAnswersAreWhole guards against an answer without a stated length that breaks off
// and looks complete, at the caller's node or across a hop.
func TestChunkedAnswersAreWhole(t *testing.T) {
	is := is.New(t)
	c, key := start(t, cluster.Options{Hosts: hosts("a", "b"), EditTarget: warmTargets})
	id := wrappedTarget(t, c.Nodes[1], "quotes", chunked)
	awaitOwner(t, c, key, id)
	awaitSettled(t, c)
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
