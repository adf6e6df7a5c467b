package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
)

// Guards against a header of another node that stops the handling of a hop, or is served without a refusal
// though it names no partition of the node.
func FuzzHop(f *testing.F) {
	f.Add(api.Hop{Service: "quotes", Partition: 1 << 40, Target: "t-b", Key: "k", DeadlineMs: 1}.String(), "POST", "/quotes/k")
	f.Add(api.Hop{Service: "quotes", Partition: -7, Target: "t-b", DeadlineMs: 1}.String(), "GET", "/quotes/k")
	f.Add(api.Hop{Service: "orders", Partition: -1, Target: "t-b", DeadlineMs: 1}.String(), "GET", "/orders")
	f.Fuzz(func(t *testing.T, hop, method, path string) {
		r, err := http.NewRequest(method, path, nil)
		if err != nil {
			return
		}
		b := fuzzNode(t)
		r.Header.Set(api.HeaderHop, hop)
		r.Header.Set(api.HeaderAttempt, "a-1")
		w := httptest.NewRecorder()
		b.InternalHandler().ServeHTTP(w, r)
		if w.Code < 400 {
			t.Fatalf("%q is served: %d", hop, w.Code)
		}
	})
}

// fuzzNode returns a node whose target is at no address.
func fuzzNode(t *testing.T) *testNode {
	b := newNode(t, "b", "127.0.0.1:1", config.Traffic{})
	connect(b, b)
	return b
}
