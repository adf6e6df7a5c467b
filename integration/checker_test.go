package integration

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

func at(ms int) time.Time { return time.Time{}.Add(time.Duration(ms) * time.Millisecond) }

func answered(start, end int, epoch api.Epoch, instance api.TargetID) *sample {
	return &sample{key: "k", start: at(start), end: at(end), ok: true, epoch: epoch, instance: instance}
}

// TestCheckerFindsTwoOwners guards against a checker that accepts every history.
func TestCheckerFindsTwoOwners(t *testing.T) {
	for _, c := range []struct {
		name    string
		history []*sample
		found   int
	}{
		{"one move", []*sample{answered(0, 10, 1, "a"), answered(20, 30, 2, "b")}, 0},
		{"concurrent requests may run in any order", []*sample{answered(0, 40, 1, "a"), answered(10, 20, 2, "b")}, 0},
		{"the owner goes back", []*sample{answered(0, 10, 2, "b"), answered(20, 30, 1, "a")}, 1},
		{"one epoch with two owners", []*sample{answered(0, 10, 1, "a"), answered(5, 30, 1, "b")}, 1},
		{"another key", []*sample{answered(0, 10, 2, "b"), {key: "x", start: at(20), end: at(30), ok: true, epoch: 1, instance: "a"}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(len(violations(c.history)), c.found) })
	}
}

// TestUnavailableTime guards against a measurement that leaves out a key without any answer, or
// the time before the first and after the last answer.
func TestUnavailableTime(t *testing.T) {
	is := is.New(t)
	list := []*sample{answered(0, 10, 1, "a"), answered(20, 60, 1, "a")}
	gap, _ := unavailable(list, []string{"k"}, at(0), at(80))
	is.Equal(gap, 50*time.Millisecond)
	gap, _ = unavailable(list, []string{"k"}, at(0), at(200))
	is.Equal(gap, 140*time.Millisecond)
	gap, _ = unavailable([]*sample{list[1], list[0]}, []string{"k"}, at(0), at(80))
	is.Equal(gap, 50*time.Millisecond) // in any order of the requests
	gap, key := unavailable(list, []string{"k", "silent"}, at(0), at(80))
	is.Equal(gap, 80*time.Millisecond)
	is.Equal(key, "silent")
}
