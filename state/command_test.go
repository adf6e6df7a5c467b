package state

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against large configurations that no entry can hold, and against a member that cannot read the
// log that it wrote before entries were packed.
func TestLargeEntriesArePacked(t *testing.T) {
	is := is.New(t)
	document := bytes.Repeat([]byte(`{"Name":"r","Match":{"PathPrefix":"/x/"}}`), 50_000)
	change := &api.Change{ID: "c", Kind: api.Replace, Replacement: &api.Replacement{Label: 1, Document: document}}
	packed, err := EncodeChange(change)
	is.NoErr(err)
	is.True(len(packed) < 100<<10)
	plain, err := json.Marshal(Command{Kind: ConfigChange, Change: change})
	is.NoErr(err)
	for _, entry := range [][]byte{packed, plain} {
		m := New()
		result, ok := m.Apply(1, entry).(*api.ChangeResult)
		is.True(ok)
		is.Equal(result.Error, nil)
		is.True(bytes.Equal(m.View().Configuration.Document, document))
	}
}
