package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"runtime"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

// wire is an established gob stream: the types have been described, as on a connection of
// net/rpc after its first message.
type wire struct {
	buffer bytes.Buffer
	enc    *gob.Encoder
	dec    *gob.Decoder
}

func newWire() *wire {
	w := &wire{}
	w.enc, w.dec = gob.NewEncoder(&w.buffer), gob.NewDecoder(&w.buffer)
	return w
}

// pass encodes and decodes a reply and returns its size in bytes.
func (w *wire) pass(r *api.HeartbeatReply) (size int, out *api.HeartbeatReply, err error) {
	if err := w.enc.Encode(r); err != nil {
		return 0, nil, errors.Trace(err)
	}
	size = w.buffer.Len()
	out = new(api.HeartbeatReply)
	return size, out, errors.Trace(w.dec.Decode(out))
}

// encodeOnly encodes a reply and drops the bytes.
func (w *wire) encodeOnly(r *api.HeartbeatReply) error {
	defer w.buffer.Reset()
	return errors.Trace(w.enc.Encode(r))
}

// replySlopes measures a reply of growing size: its bytes, its encoding, and both ways together.
func replySlopes(z Sizes, what, x string, sizes []int, build func(n int) *api.HeartbeatReply) ([]Slope, error) {
	list := []Slope{
		{Name: what, X: x, Y: "bytes", Method: MethodSize},
		{Name: what + ", encoding", X: x, Y: "us", Method: MethodLoop},
		{Name: what + ", encoding and decoding", X: x, Y: "us", Method: MethodLoop},
	}
	for _, n := range sizes {
		r := build(n)
		w := newWire()
		if _, _, err := w.pass(r); err != nil {
			return nil, err
		}
		size, _, err := w.pass(r)
		if err != nil {
			return nil, err
		}
		both, err := repeat(z.Loop, func() error { _, _, err := w.pass(r); return err })
		if err != nil {
			return nil, err
		}
		encoding, err := repeat(z.Loop, func() error { return w.encodeOnly(r) })
		if err != nil {
			return nil, err
		}
		for i, y := range []float64{float64(size), encoding.microseconds, both.microseconds} {
			list[i].add(n, y)
		}
	}
	return list, nil
}

func mapFull(_ context.Context, z Sizes) ([]Slope, error) {
	return replySlopes(z, "full map", "partitions", z.Partitions, func(n int) *api.HeartbeatReply {
		return &api.HeartbeatReply{Map: api.AssignmentUpdates{List: sampleUpdates(n)}, MapFull: true}
	})
}

func mapDelta(_ context.Context, z Sizes) ([]Slope, error) {
	return replySlopes(z, "delta of the map", "changed assignments", z.Updates, func(n int) *api.HeartbeatReply {
		return &api.HeartbeatReply{Map: api.AssignmentUpdates{List: sampleUpdates(n)}}
	})
}

func peersList(_ context.Context, z Sizes) ([]Slope, error) {
	list, err := replySlopes(z, "full list of peers", "nodes", z.Peers, peersReply)
	if err != nil {
		return nil, err
	}
	kept := Slope{Name: "kept by the encoder of a connection", X: "nodes", Y: "KB", Method: MethodHeap}
	for _, n := range z.Peers {
		y, err := keptByEncoder(peersReply(n))
		if err != nil {
			return nil, err
		}
		kept.add(n, y/1000)
	}
	return append(list, kept), nil
}

func peersReply(n int) *api.HeartbeatReply {
	return &api.HeartbeatReply{Peers: api.PeerUpdates{List: samplePeers(n)}, PeersFull: true}
}

// keptByEncoder returns the bytes that an encoder holds after it has sent a reply; gob
// keeps the buffer of the largest message for as long as the connection lives.
func keptByEncoder(r *api.HeartbeatReply) (float64, error) {
	var err error
	bytes := heapOf(func() *gob.Encoder {
		enc := gob.NewEncoder(io.Discard)
		err = enc.Encode(r)
		return enc
	})
	runtime.KeepAlive(r)
	return bytes, errors.Trace(err)
}

func configurationSize(_ context.Context, z Sizes) ([]Slope, error) {
	list, err := configurationSlopes(z, "organisations", func(n int) api.Configuration {
		return api.Configuration{Organisations: sampleOrganisations(n)}
	})
	if err != nil {
		return nil, err
	}
	byKeys, err := configurationSlopes(z, "organisation keys", func(n int) api.Configuration {
		return api.Configuration{Keys: sampleKeys(n)}
	})
	return append(list, byKeys...), err
}

// configurationSlopes measures a packed configuration of growing size: its bytes, the packing, which the
// leader does once for a version, and the unpacking, which each node does.
func configurationSlopes(z Sizes, x string, build func(n int) api.Configuration) ([]Slope, error) {
	name := "configuration by " + x
	list := []Slope{
		{Name: name, X: x, Y: "bytes", Method: MethodSize},
		{Name: name + ", packing", X: x, Y: "us", Method: MethodLoop},
		{Name: name + ", unpacking", X: x, Y: "us", Method: MethodLoop},
	}
	for _, n := range z.Entries {
		c := build(n)
		packed, err := api.PackConfiguration(c)
		if err != nil {
			return nil, err
		}
		packing, err := repeat(z.Loop, func() error { _, err := api.PackConfiguration(c); return err })
		if err != nil {
			return nil, err
		}
		unpacking, err := repeat(z.Loop, func() error { _, _, err := packed.Unpack(nil, 0); return err })
		if err != nil {
			return nil, err
		}
		for i, y := range []float64{float64(len(packed)), packing.microseconds, unpacking.microseconds} {
			list[i].add(n, y)
		}
	}
	return list, nil
}
