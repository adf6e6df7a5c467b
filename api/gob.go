package api

import "encoding/json"

// GobEncode implements gob.GobEncoder in JSON. Gob drops a pointer to a zero value, and
// services hold pointers that tell zero from unset.
func (s Services) GobEncode() ([]byte, error) { return json.Marshal(s) }

// GobDecode implements gob.GobDecoder.
func (s *Services) GobDecode(data []byte) error { return json.Unmarshal(data, s) }
