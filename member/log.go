package member

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/control"
	"github.com/zinniapier/zinniapier/replica"
)

// replicaLog lets the control loop use the replica as its log.
type replicaLog struct{ *replica.Replica }

// Members describes the members of the group.
func (l *replicaLog) Members() []control.Member {
	members := l.Replica.Members()
	now := time.Now()
	list := make([]control.Member, 0, len(members))
	for _, m := range members {
		c := control.Member{
			Name:            m.Name,
			ID:              m.ID,
			Address:         m.Address,
			OperatorAddress: m.OperatorAddress,
			Voter:           m.Voter,
			Match:           m.Match,
		}
		if m.LastContact >= 0 {
			c.LastContact = now.Add(-m.LastContact)
		}
		list = append(list, c)
	}
	return list
}

// AddMember adds a running member with an empty disk as a learner.
func (l *replicaLog) AddMember(ctx context.Context, name, address string) error {
	return l.Replica.AddMember(ctx, replica.Peer{Name: name, Address: address})
}
