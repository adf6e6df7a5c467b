package wal

import (
	"bytes"
	"testing"

	"github.com/zinniapier/zinniapier/raft"
)

// Guards against bytes on disk that stop a member in place of being reported, and against a record that is read
// other than it was written.
func FuzzReadRecord(f *testing.F) {
	hs := raft.HardState{Term: 2, Vote: 3, Commit: 4}
	f.Add(appendRecord(nil, batchRecord, encodeBatch(hs, []raft.Entry{{Index: 5, Term: 2, Data: []byte("x")}})), true)
	f.Add(encodeReset(7, 2), false)
	f.Fuzz(func(t *testing.T, data []byte, whole bool) {
		payload := data
		if whole {
			_, p, size, err := readRecord(data)
			if err != nil {
				return
			}
			if size > len(data) || len(p) > size {
				t.Fatalf("record of %d bytes in %d", size, len(data))
			}
			payload = p
		}
		_, _, _ = decodeReset(payload)
		hs, entries, err := decodeBatch(payload)
		if err == nil && !bytes.Equal(encodeBatch(hs, entries), payload) {
			t.Fatal("batch changes when it is written again")
		}
	})
}
