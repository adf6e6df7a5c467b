package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a memory problem that the metrics do not show.
func TestGauges(t *testing.T) {
	is := is.New(t)
	Gauge("queue_bytes", func() int64 { return 1 })
	Gauge("queue_bytes", func() int64 { return 7 })
	GaugesBy("slots", "target", func() map[string]int64 { return map[string]int64{"t-1": 5} })
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), "zinnia_queue_bytes 7\n"))
	is.True(strings.Contains(w.Body.String(), "zinnia_memory_bytes "))
	is.True(strings.Contains(w.Body.String(), "zinnia_slots{target=\"t-1\"} 5\n"))
	is.True(HeapBytes() > 0)
	w = httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	is.True(strings.Contains(w.Body.String(), `"queue_bytes":7`))
}
