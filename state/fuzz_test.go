package state

import (
	"testing"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a log entry or a snapshot that stops a member: each member applies it again after each start.
func FuzzApply(f *testing.F) {
	change, err := EncodeBatch(&Batch{Term: 1, Opens: nil, Grants: []Grant{{Target: "t", Session: "s"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(change)
	packed, err := EncodeChange(&api.Change{ID: "c", Kind: api.Replace, Replacement: &api.Replacement{Label: 1, Document: make([]byte, minPackedEntry)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add([]byte(`{"kind":"config-change","change":{"id":"c","kind":"apply-services","services":{"services":[{"name":"q","partitions":4}]}}}`))
	f.Add([]byte(`{"kind":"grant-batch","batch":{"term":1,"grants":[{"service":"q","partition":-1}],"splits":[{"service":"q","partition":9}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		for index := range uint64(3) {
			m.Apply(index+1, data)
		}
		_ = New().Restore(data)
		if m.View().Index != 3 {
			t.Fatal("an entry was not counted")
		}
	})
}
