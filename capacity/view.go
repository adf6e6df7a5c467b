package capacity

import (
	"bytes"
	"encoding/gob"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

// viewFrom builds the view of an encoded reply, with the assignments in lists by service
// as the session keeps them.
func viewFrom(data []byte) (*api.View, error) {
	var r api.HeartbeatReply
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&r); err != nil {
		return nil, errors.Trace(err)
	}
	configuration, _, err := r.Configuration.Unpack(nil, 0)
	if err != nil {
		return nil, err
	}
	v := &api.View{Configuration: configuration, Peers: r.Peers.List, Assignments: api.AssignmentTable{}.With(r.Map.List)}
	v.Index = api.NewViewIndex(v)
	return v, nil
}
