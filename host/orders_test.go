package host

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a target that answers orders with a head without end, which its node would keep up to 10 MB of for
// each target.
func TestHeadsOfAnswersToOrdersAreBounded(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Pad", strings.Repeat("y", 4*maxCallHead))
	}))
	defer server.Close()
	resp, err := ordersClient().Get(server.URL)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
}
