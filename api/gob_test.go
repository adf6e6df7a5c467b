package api

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against settings that are lost on the way to the nodes: gob drops a pointer to a
// zero value, so that "idempotent": false would arrive as the default of the method.
func TestServicesOverGob(t *testing.T) {
	is := is.New(t)
	segment, idempotent := 0, false
	in := Configuration{Document: []byte("as sent"), Services: Services{Services: []Service{{
		Name:   "quotes",
		Key:    &KeySource{PathSegment: &segment},
		Routes: []Route{{Prefix: "/quotes", Idempotent: &idempotent}},
	}}}}
	packed, err := PackConfiguration(in)
	is.NoErr(err)
	out, _, err := packed.Unpack(nil, 0)
	is.NoErr(err)
	in.Document = nil
	is.Equal(*out, in)
	none, _, err := PackedConfiguration(nil).Unpack(nil, 0)
	is.NoErr(err)
	is.Equal(none, nil)
	_, _, err = packed[:len(packed)/2].Unpack(nil, 0)
	is.True(err != nil)
}
