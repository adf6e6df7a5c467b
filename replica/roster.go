package replica

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// maxRemoved is the maximum number of removed ids in a roster; the oldest are dropped.
const maxRemoved = 1024

// Member describes one member of the group.
type Member struct {
	Name            string
	ID              uint64
	Address         string
	OperatorAddress string
	Voter           bool
	// Match is the last index known to be on the member's disk. Set on the leader only.
	Match uint64
	// LastContact is how long ago the leader sent the last round that the member answered;
	// negative when unknown, which it always is on a follower.
	LastContact time.Duration
}

// record is the replicated data of a member.
type record struct {
	ID              uint64 `json:"id"`
	Name            string `json:"name"`
	Address         string `json:"address"`
	OperatorAddress string `json:"operator_address,omitempty"`
	Zone            string `json:"zone,omitempty"`
}

// roster is the data in Context of a raft.Membership. Members are in the order in which they
// joined.
type roster struct {
	Cluster uint64   `json:"cluster"`
	Members []record `json:"members"`
	// Removed lists ids that must not join again.
	Removed []uint64 `json:"removed,omitempty"`
}

func decodeRoster(context []byte) (roster, error) {
	var r roster
	if len(context) == 0 {
		return r, nil
	}
	err := json.Unmarshal(context, &r)
	return r, errors.Annotate(err, "decode membership context")
}

func (r roster) encode() []byte {
	// Marshalling this struct cannot fail.
	b, _ := json.Marshal(r)
	return b
}

func (r roster) find(id uint64) (record, bool) {
	i := slices.IndexFunc(r.Members, func(m record) bool { return m.ID == id })
	if i < 0 {
		return record{}, false
	}
	return r.Members[i], true
}

func (r roster) hasName(name string) bool {
	return slices.ContainsFunc(r.Members, func(m record) bool { return m.Name == name })
}

// withRecord returns the roster with m added, or in place of the record with its id.
func (r roster) withRecord(m record) roster {
	r.Members = slices.Clone(r.Members)
	i := slices.IndexFunc(r.Members, func(old record) bool { return old.ID == m.ID })
	if i < 0 {
		r.Members = append(r.Members, m)
	} else {
		r.Members[i] = m
	}
	return r
}

// withoutMember returns the roster without the member and with its id in Removed.
func (r roster) withoutMember(id uint64) roster {
	r.Members = slices.DeleteFunc(slices.Clone(r.Members), func(m record) bool { return m.ID == id })
	r.Removed = append(slices.Clone(r.Removed), id)
	if extra := len(r.Removed) - maxRemoved; extra > 0 {
		r.Removed = r.Removed[extra:]
	}
	return r
}

// superseded returns the id of a member that can be removed because a newer member has its name: a
// learner at once, a voter as soon as the newer member is a voter.
func (r roster) superseded(m raft.Membership) (uint64, bool) {
	for i, old := range r.Members {
		for _, newer := range r.Members[i+1:] {
			if newer.Name == old.Name && (!m.IsVoter(old.ID) || m.IsVoter(newer.ID)) {
				return old.ID, true
			}
		}
	}
	return 0, false
}
