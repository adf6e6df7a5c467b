package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSeededGroup returns members whose seeds are the addresses of the first three.
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
	eventually(t, "the voters are not the expected ones", func() bool { return slices.Equal(g.leader(t).group().voters(), names) })
}

func (m *testMember) group() testGroup { return testGroup{m} }

// Guards against seeds that found two groups, members outside the seeds that do not join, more
// voters than MaxVoters, a lost voter that no learner replaces, and a removed member that does not
// join again under a new id.
func TestSeededGroup(t *testing.T) {
	is := is.New(t)
	g := newSeededGroup(t, "a", "b", "c", "d", "e", "f")
	spare := g[5]
	five := g[:5]
	five.start()
	five.awaitVoters(t, "a", "b", "c", "d", "e")
	five.propose(t, "first", 50)

	// A sixth member stays a learner while all voters are in contact.
	spare.options.Bootstrap = false
	spare.start()
	eventually(t, "the sixth member does not join", func() bool { return len(g.leader(t).replica.Members()) == 6 })
	time.Sleep(3 * reconcileInterval)
	five.awaitVoters(t, "a", "b", "c", "d", "e")

	// It replaces a voter that is lost.
	gone := five.without(five.leader(t))[0]
	gone.end()
	rest := g.without(gone)
	eventually(t, "the learner does not replace the lost voter", func() bool {
		return slices.Contains(rest.leader(t).group().voters(), "f")
	})
	is.Equal(slices.Contains(rest.leader(t).group().voters(), gone.options.Name), false)

	// The lost member returns with its disk. Its id was removed, so it empties the disk and joins
	// under a new id.
	gone.options.Bootstrap = false
	oldID := gone.replica.ID()
	gone.start()
	eventually(t, "the removed member does not stop", func() bool {
		select {
		case <-gone.replica.stopped:
			return true
		default:
			return false
		}
	})
	gone.end()
	gone.start()
	is.True(gone.replica.ID() != oldID)
	g.propose(t, "later", 50)
	g.converge(t, 100)
}

// Guards against seeds with empty disks and without Bootstrap that found a second group.
func TestWipedSeedDoesNotFound(t *testing.T) {
	is := is.New(t)
	g := newSeededGroup(t, "a", "b", "c")
	for _, m := range g {
		m.options.Bootstrap = false
	}
	g.start()
	time.Sleep(500 * time.Millisecond)
	for _, m := range g {
		is.Equal(m.replica.self().Cluster, uint64(0))
	}
}
