package api

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a hop that reaches the owner's node with other parameters than it was sent with.
func TestHopKeepsItsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := func(name string) string { return rapid.String().Draw(t, name) }
		sent := Hop{
			Service: text("service"), Route: text("route"), Partition: rapid.Int().Draw(t, "partition"), Epoch: Epoch(rapid.Uint64().Draw(t, "epoch")),
			Target: TargetID(text("target")), Key: text("key"), Organisation: OrganisationID(text("organisation")), Origin: text("origin"),
			Priority: rapid.Int().Draw(t, "priority"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			DeadlineMs: rapid.Int64().Draw(t, "deadline"), ObjectiveMs: rapid.Int64().Draw(t, "objective"), Late: rapid.Bool().Draw(t, "late"),
		}
		value := sent.String()
		for _, r := range value {
			if r < ' ' || r > '~' {
				t.Fatalf("%q cannot be sent in a header", value)
			}
		}
		got, err := ParseHop(value)
		if err != nil || got != sent {
			t.Fatalf("got %+v, %v, want %+v", got, err, sent)
		}
	})
}

// Guards against headers of a hop that outgrow the answers of small requests on links between zones.
func TestHopHeaderIsShort(t *testing.T) {
	is := is.New(t)
	h := http.Header{HeaderHop: {Hop{
		Service: "logo61a", Partition: 2112, Epoch: 1913, Target: "i-8dcdda5a9d@1790636438166", Key: "47213", Organisation: "hule930",
		Origin: "logo61a", Priority: 2, Idempotent: true, DeadlineMs: 2960, ObjectiveMs: 1310,
	}.String()}}
	is.True(len(HeaderHop)+len(h.Get(HeaderHop)) < 120) // 340 in a header each
}

// Guards against a hop that is run with defaults in place of parameters that were damaged.
func TestDamagedHopIsRefused(t *testing.T) {
	value := Hop{Service: "quotes", Partition: 3, Epoch: 7, Target: "t", DeadlineMs: 5, ObjectiveMs: -1}.String()
	for i, damaged := range []string{"", "1", value + ";1", value + ";late;late", value[2:] + ";x", "%zz" + value, value[:len(value)-2] + "x"} {
		if _, err := ParseHop(damaged); err == nil {
			t.Errorf("%d: %q is accepted", i, damaged)
		}
	}
}
