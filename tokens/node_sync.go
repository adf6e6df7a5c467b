package tokens

import (
	"maps"

	"github.com/zinniapier/zinniapier/api"
)

// Reporter is the account that a NodeSync reports; Account implements it.
type Reporter interface {
	Report() map[api.OrganisationID]api.TokenReport
	Apply(term uint64, replies map[api.OrganisationID]api.TokenReply)
}

// NodeSync is the node side of the incremental exchange of token reports and replies: it sends only
// reports that the leader does not have and completes the replies. Most organisations have no request
// at a node between two heartbeats. It is not safe for concurrent use.
type NodeSync struct {
	account Reporter
	// acknowledged holds the reports that the leader has replied to.
	acknowledged map[api.OrganisationID]api.TokenReport
	// unacknowledged holds the reports of the last heartbeat, with sequence number reportedSequence, which the leader
	// may or may not have received. Each heartbeat repeats those of earlier ones without a reply.
	unacknowledged   map[api.OrganisationID]api.TokenReport
	reportedSequence uint64
	// fullAcknowledged is true once the leader has replied to a full set of reports of this session.
	fullAcknowledged bool
	// replies are the complete replies to the heartbeat with sequence number answeredSequence.
	replies          map[api.OrganisationID]api.TokenReply
	answeredSequence uint64
}

// NewNodeSync returns a NodeSync that has sent nothing.
func NewNodeSync(account Reporter) *NodeSync { return &NodeSync{account: account} }

// Reset clears the state for a new session, so that the next heartbeat carries all reports.
func (s *NodeSync) Reset() { *s = NodeSync{account: s.account} }

// Report sets the changed reports in a heartbeat, and again those of a heartbeat without a reply.
func (s *NodeSync) Report(req *api.HeartbeatRequest) {
	reports := s.account.Report()
	unacknowledgedGone := false
	for id := range s.unacknowledged {
		delete(s.acknowledged, id) // the leader may not have it, so it counts as changed
		if _, found := reports[id]; !found {
			unacknowledgedGone = true
		}
	}
	changed, acknowledgedGone := api.Changed(s.acknowledged, reports)
	if s.fullAcknowledged && !acknowledgedGone && !unacknowledgedGone {
		req.Tokens = changed
	} else {
		s.fullAcknowledged, s.acknowledged = false, nil
		req.Tokens, req.TokensFull = reports, true
	}
	req.Answered = s.answeredSequence
	s.unacknowledged, s.reportedSequence = req.Tokens, req.Sequence
}

// Apply applies the reply to the last heartbeat, or to an earlier one if none has been applied since it was sent.
func (s *NodeSync) Apply(req *api.HeartbeatRequest, r *api.HeartbeatReply) {
	if r.TokensAgain {
		s.Reset()
		return
	}
	if s.acknowledged == nil {
		s.acknowledged = make(map[api.OrganisationID]api.TokenReport, len(req.Tokens))
	}
	maps.Copy(s.acknowledged, req.Tokens)
	s.fullAcknowledged = s.fullAcknowledged || req.TokensFull
	if req.Sequence == s.reportedSequence {
		s.unacknowledged = nil
	}
	if r.TokensFull || s.replies == nil {
		s.replies = make(map[api.OrganisationID]api.TokenReply, len(r.Tokens))
	}
	maps.Copy(s.replies, r.Tokens)
	s.answeredSequence = req.Sequence
	s.account.Apply(r.Term, s.replies)
}
