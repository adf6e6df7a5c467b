package session

import (
	"crypto/tls"
	"net"
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rpc"
)

// members selects the control member that the next heartbeat goes to.
type members struct {
	tls *tls.Config
	// configured returns the members of the settings, which are asked again when every learned
	// member fails.
	configured func() []string
	list       []string
	current    string
	conn       *rpc.Client
	failed     int // members that failed in a row
}

func newMembers(addresses []string, reseed func() []string, tlsConfig *tls.Config) *members {
	list := slices.Clone(addresses)
	if reseed == nil {
		reseed = func() []string { return list }
	}
	return &members{tls: tlsConfig, configured: reseed, list: list, current: list[0]}
}

func (m *members) count() int { return len(m.list) }

// client returns the client of the current member.
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

// use switches to the address on a new connection.
func (m *members) use(address string) {
	m.close()
	m.current = address
}

// next selects the member after the current one. When all learned members have failed in a
// row, the addresses of the settings are added back: the learned ones may all be gone.
func (m *members) next() {
	m.failed++
	if m.failed >= len(m.list) {
		m.failed = 0
		m.list = union(m.list, m.configured())
	}
	i := slices.Index(m.list, m.current)
	m.use(m.list[(i+1)%len(m.list)])
}

// fail selects the next member after a failed heartbeat: the one that a follower named as
// leader, else the next in the list.
func (m *members) fail(err error) {
	if errkind.Of(err) == errkind.NotLeader {
		m.follow(leaderHint(errkind.From(err).Message))
		return
	}
	m.next()
}

// follow selects the member that a follower named, or the next one when it named none.
func (m *members) follow(address string) {
	if address == "" || address == m.current {
		m.next()
		return
	}
	m.use(address)
}

// learn takes over the current control members from a leader's reply.
func (m *members) learn(addresses []string) {
	m.failed = 0
	if len(addresses) > 0 {
		m.list = slices.Clone(addresses)
	}
}

func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, address := range b {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// leaderHint returns the address at the end of the message of a not-leader answer, or "".
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
