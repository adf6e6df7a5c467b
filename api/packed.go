package api

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"hash/fnv"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
)

// PackedConfiguration is a configuration as heartbeats carry it: gob, deflated. Routes and keys repeat
// much of their text, and links of hosts may be slow. Empty means none.
type PackedConfiguration []byte

// packedBody is what a packed configuration holds.
type packedBody struct {
	Configuration Configuration
	// AccessHash is that of the organisations and organisation keys, which are left out if
	// AccessOmitted is set.
	AccessHash    uint64
	AccessOmitted bool
}

// AccessHash identifies the organisations and organisation keys of a configuration. It is not 0.
func AccessHash(c *Configuration) (uint64, error) {
	h := fnv.New64a()
	if err := json.NewEncoder(h).Encode([]any{c.Organisations, c.Keys}); err != nil {
		return 0, errors.Trace(err)
	}
	return max(h.Sum64(), 1), nil
}

// PackConfiguration packs a configuration without its document, which nodes do not need.
func PackConfiguration(c Configuration) (PackedConfiguration, error) {
	access, err := AccessHash(&c)
	if err != nil {
		return nil, err
	}
	return pack(packedBody{Configuration: c, AccessHash: access})
}

// PackWithoutAccess is PackConfiguration for a node that holds the organisations and organisation keys
// with the given hash. They are most of the bytes, and most changes leave them as they are.
func PackWithoutAccess(c Configuration, access uint64) (PackedConfiguration, error) {
	c.Organisations, c.Keys = nil, nil
	return pack(packedBody{Configuration: c, AccessHash: access, AccessOmitted: true})
}

func pack(body packedBody) (PackedConfiguration, error) {
	body.Configuration.Document = nil
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(&body); err != nil {
		return nil, errors.Trace(err)
	}
	return Deflate(buffer.Bytes())
}

// Unpack returns the configuration and its AccessHash, or nil and 0 when there is none. Organisations
// and organisation keys that were left out are taken from the configuration held, whose AccessHash is
// heldHash. Errors: Invalid if that is another one.
func (p PackedConfiguration) Unpack(held *Configuration, heldHash uint64) (*Configuration, uint64, error) {
	if len(p) == 0 {
		return nil, 0, nil
	}
	data, err := Inflate(p)
	if err != nil {
		return nil, 0, err
	}
	var body packedBody
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&body); err != nil {
		return nil, 0, errors.Trace(err)
	}
	c := &body.Configuration
	if body.AccessOmitted {
		if held == nil || heldHash != body.AccessHash {
			return nil, 0, errkind.New(errkind.Invalid, "configuration %d leaves out organisations that the node does not hold", c.Version)
		}
		c.Organisations, c.Keys = held.Organisations, held.Keys
	}
	return c, body.AccessHash, nil
}
