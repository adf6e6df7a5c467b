package config

import (
	"encoding/json"
	"testing"
)

// Guards against settings that stop a process without a reason, and against accepted ones that are refused when
// they are written back.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"quotes","partitions":4,"key":{"path_segment":1},"routes":[{"prefix":"/q"}],"deadline_ms":100}]}`))
	f.Add([]byte(`{"name":"n","listen":"127.0.0.1:0","data_dir":"d"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = ParseNode(data)
		_, _ = ParseControl(data)
		_, _ = ParseTarget(data)
		s, err := ParseServices(data)
		if err != nil {
			return
		}
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseServices(text); err != nil {
			t.Fatalf("%s is refused: %v", text, err)
		}
	})
}
