package api

import "encoding/json"

// GobEncode implements gob.GobEncoder in JSON. Gob drops a pointer to a zero value, and
// services hold pointers that tell zero from unset.
func (s Services) GobEncode() ([]byte, error) { return json.Marshal(s) }

// GobDecode implements gob.GobDecoder.
func (s *Services) GobDecode(data []byte) error { return json.Unmarshal(data, s) }

// GobEncode implements gob.GobEncoder in JSON, for the same reason.
func (o Organisation) GobEncode() ([]byte, error) { return json.Marshal(o) }

// GobDecode implements gob.GobDecoder.
func (o *Organisation) GobDecode(data []byte) error { return json.Unmarshal(data, o) }
