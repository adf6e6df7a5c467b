package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSeededGroup returns members that know the first three addresses only.
func newSeededGroup(t *testing.T, names ...string) testGroup {
	g := newGroup(t, names...)
	var seeds []string
	for _, m := range g[:3] {
		seeds = append(seeds, m.options.Address)
	}
	for i, m := range g {
		m.options.Peers = nil
		m.options.Seeds = func() []string { return seeds }
		m.options.Bootstrap = true
		m.options.MaxVoters = 5
		m.options.Zone = []string{"x", "y", "z"}[i%3]
	}
	return g
}

func (g testGroup) voters() (names []string) {
	for _, m := range g {
		if m.stop == nil {
			continue
		}
		for _, member := range m.replica.Members() {
			if member.Voter {
				names = append(names, member.Name)
			}
		}
		break
	}
	slices.Sort(names)
	return names
}

func (g testGroup) awaitVoters(t *testing.T, names ...string) {
	t.Helper()
	eventually(t, "voters are not those wanted", func() bool { return slices.Equal(g.leader(t).group().voters(), names) })
}

func (m *testMember) group() testGroup { return testGroup{m} }

// Guards against seeds that found two groups, members outside the seeds that stay out, more voters
// than wanted, and a group whose wiped, lost or replaced members cost it its quorum.
func TestSeededGroup(t *testing.T) {
	is := is.New(t)
	g := newSeededGroup(t, "a", "b", "c", "d", "e", "f")
	spare := g[5]
	five := g[:5]
	five.begin()
	five.awaitVoters(t, "a", "b", "c", "d", "e")
	five.propose(t, "first", 50)

	// A sixth member stays a learner while all voters are there.
	spare.options.Bootstrap = false
	spare.begin()
	eventually(t, "the sixth member does not join", func() bool { return len(g.leader(t).replica.Members()) == 6 })
	time.Sleep(3 * reconcileInterval)
	five.awaitVoters(t, "a", "b", "c", "d", "e")

	// A member that is gone for good makes room for it.
	gone := five.without(five.leader(t))[0]
	gone.end()
	rest := g.without(gone)
	eventually(t, "the learner does not take the place of the lost voter", func() bool {
		return slices.Contains(rest.leader(t).group().voters(), "f")
	})
	is.Equal(slices.Contains(rest.leader(t).group().voters(), gone.options.Name), false)

	// The lost one returns with its disk: its id was removed, so it empties the disk and joins anew.
	gone.options.Bootstrap = false
	oldID := gone.replica.ID()
	gone.begin()
	eventually(t, "the removed member does not stop", func() bool {
		select {
		case <-gone.replica.stopped:
			return true
		default:
			return false
		}
	})
	gone.end()
	gone.begin()
	is.True(gone.replica.ID() != oldID)
	g.propose(t, "later", 50)
	g.converge(t, 100)
}

// Guards against a member with an empty disk that founds a second group after the first start.
func TestWipedSeedDoesNotFound(t *testing.T) {
	is := is.New(t)
	g := newSeededGroup(t, "a", "b", "c")
	for _, m := range g {
		m.options.Bootstrap = false
	}
	g.begin()
	time.Sleep(500 * time.Millisecond)
	for _, m := range g {
		is.Equal(m.replica.self().Cluster, uint64(0))
	}
}
