package api

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/juju/errors"
)

// mostUnpacked bounds in bytes what a packed configuration may unpack to; the operators' interface
// takes less.
const mostUnpacked = 256 << 20

// PackedConfiguration is a configuration as heartbeats carry it: gob, deflated. Routes and keys repeat
// much of their text, and links of hosts may be slow. Empty means none.
type PackedConfiguration []byte

// PackConfiguration packs a configuration without its document, which nodes do not need.
func PackConfiguration(c Configuration) (PackedConfiguration, error) {
	c.Document = nil
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := gob.NewEncoder(w).Encode(&c); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buffer.Bytes(), nil
}

// Unpack returns the configuration, or nil when there is none.
func (p PackedConfiguration) Unpack() (*Configuration, error) {
	if len(p) == 0 {
		return nil, nil
	}
	c := new(Configuration)
	r := io.LimitReader(flate.NewReader(bytes.NewReader(p)), mostUnpacked)
	if err := gob.NewDecoder(r).Decode(c); err != nil {
		return nil, errors.Trace(err)
	}
	return c, nil
}
