package session

import (
	"crypto/tls"
	"net"
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rpc"
)

// members selects the control member for the next heartbeat.
type members struct {
	tls *tls.Config
	// seedMembers returns the members from the settings, which are added back when every known
	// member fails.
	seedMembers func() []string
	list        []string
	current     string
	conn        *rpc.Client
	failedInRow int // number of consecutive failures
}

func newMembers(addresses []string, reseed func() []string, tlsConfig *tls.Config) *members {
	list := slices.Clone(addresses)
	if reseed == nil {
		reseed = func() []string { return list }
	}
	return &members{tls: tlsConfig, seedMembers: reseed, list: list, current: list[0]}
}

// count returns the number of known members.
func (m *members) count() int { return len(m.list) }

// client returns the client of the current member and creates it if needed.
func (m *members) client() *rpc.Client {
	if m.conn == nil {
		m.conn = rpc.NewClient(m.current, m.tls)
	}
	return m.conn
}

func (m *members) close() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// release gives the connection to the current member to the caller.
func (m *members) release() { m.conn = nil }

// adopt makes the address the current member, with a connection that release has given away.
func (m *members) adopt(address string, conn *rpc.Client) {
	m.close()
	m.current, m.conn = address, conn
}

// switchTo makes the address the current member, on a new connection.
func (m *members) switchTo(address string) {
	m.close()
	m.current = address
}

// selectNext selects the member after the current one. When as many consecutive heartbeats have failed
// as members are known, the seed members are added back: the known ones may all be gone.
func (m *members) selectNext() {
	m.failedInRow++
	if m.failedInRow >= len(m.list) {
		m.failedInRow = 0
		m.list = union(m.list, m.seedMembers())
	}
	i := slices.Index(m.list, m.current)
	m.switchTo(m.list[(i+1)%len(m.list)])
}

// handleFailure selects a member after a failed heartbeat: the leader that a follower named, else the
// next in the list.
func (m *members) handleFailure(err error) {
	if errkind.Of(err) == errkind.NotLeader {
		m.followHint(leaderHint(errkind.From(err).Message))
		return
	}
	m.selectNext()
}

// followHint selects the member that a follower named as leader, or the next one if it named none.
func (m *members) followHint(address string) {
	if address == "" || address == m.current {
		m.selectNext()
		return
	}
	m.switchTo(address)
}

// update replaces the known members by those in a leader's reply, if it lists any.
func (m *members) update(addresses []string) {
	m.failedInRow = 0
	if len(addresses) > 0 {
		m.list = slices.Clone(addresses)
	}
}

// union returns a and the addresses of b that it lacks.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, address := range b {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// leaderHint returns the address at the end of a not-leader error message, or "".
func leaderHint(message string) string {
	fields := strings.Fields(message)
	if len(fields) == 0 {
		return ""
	}
	address := fields[len(fields)-1]
	if _, _, err := net.SplitHostPort(address); err != nil {
		return ""
	}
	return address
}
