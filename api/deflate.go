package api

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/juju/errors"
)

const (
	// mostInflated bounds in bytes what packed data may unpack to; the operators' interface takes less.
	mostInflated = 256 << 20
	// minDeflated is the length in bytes below which data is sent as it is.
	minDeflated = 128
)

// The first byte of packed data.
const (
	plainData    byte = 0
	deflatedData byte = 1
)

// deflaters holds idle *flate.Writer: one takes some hundred kilobytes.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only an invalid level fails
	}
	return w
}}

// inflaters holds idle readers of package flate: one takes some ten kilobytes.
var inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Deflate packs data, which may be random in part: identifiers take most of the bytes of replies.
func Deflate(data []byte) ([]byte, error) {
	if len(data) < minDeflated {
		return append([]byte{plainData}, data...), nil
	}
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	buffer := bytes.NewBuffer(make([]byte, 0, len(data)/2))
	buffer.WriteByte(deflatedData)
	w.Reset(buffer)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buffer.Bytes(), nil
}

// Inflate returns what Deflate has packed. It fails for data that Deflate does not write.
func Inflate(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, errors.New("no packed data")
	}
	switch packed[0] {
	case plainData:
		return packed[1:], nil
	case deflatedData:
		r := inflaters.Get().(io.Reader)
		defer inflaters.Put(r)
		if err := r.(flate.Resetter).Reset(bytes.NewReader(packed[1:]), nil); err != nil {
			return nil, errors.Trace(err)
		}
		data, err := io.ReadAll(io.LimitReader(r, mostInflated))
		return data, errors.Trace(err)
	}
	return nil, errors.Errorf("packed data of unknown form %d", packed[0])
}
