package control

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against organisations and keys that are sent to nodes which hold them, and against nodes that do
// not get a changed key.
func TestPackedForNodes(t *testing.T) {
	is := is.New(t)
	w := newRestartCluster(t)
	view := &api.ControlState{Configuration: api.Configuration{Version: 7, Keys: []api.OrganisationKey{{ID: "k", Organisation: "acme", Digest: "d"}}}}
	held, hash, err := w.packedFor(view, 0).Unpack(nil, 0)
	is.NoErr(err)
	is.Equal(len(held.Keys), 1)

	next := *view
	next.Configuration.Version, next.Configuration.ZonesOut = 8, []string{"a"}
	got, again, err := w.packedFor(&next, hash).Unpack(held, hash)
	is.NoErr(err)
	is.Equal(again, hash)
	is.Equal(got.ZonesOut, []string{"a"})
	_, _, err = w.packedFor(&next, hash).Unpack(nil, 0)
	is.True(err != nil) // left out

	withdrawn := next
	withdrawn.Configuration.Version, withdrawn.Configuration.Keys = 9, nil
	got, changed, err := w.packedFor(&withdrawn, hash).Unpack(held, hash)
	is.NoErr(err)
	is.Equal(len(got.Keys), 0)
	is.True(changed != hash)
}
