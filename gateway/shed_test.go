package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// sheddingDialect takes every 503 as a refusal of a target that states the load.
type sheddingDialect struct {
	ownDialect
	load TargetLoad
}

func (d sheddingDialect) ParseResponse(resp *http.Response, s AttemptInfo) ResponseInfo {
	v := ResponseInfo{ColdRemaining: -1, Load: d.load}
	if resp.StatusCode == http.StatusServiceUnavailable {
		v.Shed, v.Refusal = true, errkind.New(errkind.Overloaded, "target %s sheds load", s.Target.ID)
	}
	return v
}

// Guards against requests that are refused at the gate of a target with free slots, because the target
// refuses some requests for another reason than its load.
func TestRefusalWithFreeSlotsKeepsTheLimit(t *testing.T) {
	for _, c := range []struct {
		load  TargetLoad
		lower bool
	}{
		{TargetLoad{Running: 2, Slots: 8}, false},
		{TargetLoad{Running: 8, Slots: 8}, true},
		{TargetLoad{Running: 7, Waiting: 1, Slots: 8}, true},
		{TargetLoad{}, true}, // says nothing
	} {
		is := is.New(t)
		target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		a := newNode(t, "a", target.addr(), config.Traffic{})
		a.dialect = sheddingDialect{load: c.load}
		connect(a, a)
		for range 5 {
			is.Equal(a.call(t, "POST", "/quotes/k", "x").status, http.StatusServiceUnavailable)
		}
		is.Equal(a.local.gate.Snapshot().Limit < 8, c.lower)
	}
}
