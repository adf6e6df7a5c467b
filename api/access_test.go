package api

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
)

func accessConfiguration(version uint64) Configuration {
	c := Configuration{Version: version, Services: Services{Services: []Service{{Name: "quotes", Partitions: int(version)}}}}
	for i := range 200 {
		id := OrganisationID(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		c.Organisations = append(c.Organisations, Organisation{ID: id, Rate: float64(i), Burst: 1})
		digest := DigestKey(string(id))
		c.Keys = append(c.Keys, OrganisationKey{ID: string(digest), Organisation: id, Digest: digest})
	}
	return c
}

// Guards against a change of services that sends all organisations and keys to every node again, and
// against a node that keeps those of another configuration.
func TestConfigurationWithoutAccess(t *testing.T) {
	is := is.New(t)
	first, second := accessConfiguration(1), accessConfiguration(2)
	hash, err := AccessHash(&first)
	is.NoErr(err)
	whole, err := PackConfiguration(first)
	is.NoErr(err)
	held, heldHash, err := whole.Unpack(nil, 0)
	is.NoErr(err)
	is.Equal(heldHash, hash)
	partial, err := PackWithoutAccess(second, hash)
	is.NoErr(err)
	is.True(len(partial) < len(whole)/5)
	got, gotHash, err := partial.Unpack(held, heldHash)
	is.NoErr(err)
	is.Equal(gotHash, hash)
	is.Equal(*got, second)

	second.Keys = second.Keys[1:] // withdrawn
	other, err := AccessHash(&second)
	is.NoErr(err)
	is.True(other != hash)
	for _, h := range []uint64{0, other} {
		_, _, err = partial.Unpack(held, h)
		is.Equal(errkind.Of(err), errkind.Invalid)
	}
	_, _, err = partial.Unpack(nil, hash)
	is.Equal(errkind.Of(err), errkind.Invalid)
}

// Guards against an index that shares a part which has changed, such as a withdrawn key.
func TestReindexedEqualsNewIndex(t *testing.T) {
	is := is.New(t)
	c := accessConfiguration(1)
	v := &View{Configuration: &c, Peers: []Peer{{Session: "s1", Targets: []PeerTarget{{ID: "t1", Service: "quotes", State: TargetServing}}}}}
	old := NewViewIndex(v)
	next := *v
	changed := accessConfiguration(2)
	changed.Keys = changed.Keys[1:]
	changed.Overrides = []Override{{Service: "quotes", Key: "k", Partition: 3}}
	next.Configuration = &changed
	is.Equal(old.Reindexed(&next, true, true, false), NewViewIndex(&next))
	next.Peers = []Peer{{Session: "s2", Targets: []PeerTarget{{ID: "t2", Service: "quotes", State: TargetServing}}}}
	is.Equal(old.Reindexed(&next, true, true, true), NewViewIndex(&next))
	is.Equal(old, NewViewIndex(v)) // unchanged
}
