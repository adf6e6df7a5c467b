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
	out, err := packed.Unpack()
	is.NoErr(err)
	in.Document = nil
	is.Equal(*out, in)
	none, err := PackedConfiguration(nil).Unpack()
	is.NoErr(err)
	is.Equal(none, nil)
	_, err = packed[:len(packed)/2].Unpack()
	is.True(err != nil)
}
