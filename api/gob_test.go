package api

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"
)

// Guards against settings that are lost on the way to the nodes: gob drops a pointer to a
// zero value, so that "idempotent": false would arrive as the default of the method.
func TestServicesOverGob(t *testing.T) {
	is := is.New(t)
	segment, idempotent := 0, false
	in := HeartbeatReply{Configuration: &Configuration{Services: Services{Services: []Service{{
		Name:   "quotes",
		Key:    &KeySource{PathSegment: &segment},
		Routes: []Route{{Prefix: "/quotes", Idempotent: &idempotent}},
	}}}}}
	var buffer bytes.Buffer
	is.NoErr(gob.NewEncoder(&buffer).Encode(in))
	var out HeartbeatReply
	is.NoErr(gob.NewDecoder(&buffer).Decode(&out))
	is.Equal(out, in)
}
