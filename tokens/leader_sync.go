package tokens

import (
	"maps"

	"github.com/zinniapier/zinniapier/api"
)

// LeaderSync is the leader side of the incremental exchange of token reports and replies with one
// session: heartbeats carry only the reports that changed, and replies only what the node does not
// have. The zero value is ready for use and has no reports.
type LeaderSync struct {
	complete bool // a full set of reports has arrived
	reports  map[api.OrganisationID]api.TokenReport
	// sentReplies are the complete replies to the heartbeat with sequence number sentSequence.
	sentReplies  map[api.OrganisationID]api.TokenReply
	sentSequence uint64
}

// MergeReports applies the changed reports and returns all reports of the session. It returns false if
// no full set of reports has arrived yet; the node must then send one.
func (s *LeaderSync) MergeReports(req *api.HeartbeatRequest) (map[api.OrganisationID]api.TokenReport, bool) {
	if req.TokensFull {
		s.complete, s.reports = true, make(map[api.OrganisationID]api.TokenReport, len(req.Tokens))
	}
	if s.complete {
		maps.Copy(s.reports, req.Tokens)
	}
	return s.reports, s.complete
}

// Synced reports whether all reports of the session are known.
func (s *LeaderSync) Synced() bool { return s.complete }

// FillReply sets the token replies that the node does not have, or all of them if it has not confirmed
// the last ones or one was removed.
func (s *LeaderSync) FillReply(r *api.HeartbeatReply, req *api.HeartbeatRequest, replies map[api.OrganisationID]api.TokenReply) {
	changed, gone := api.Changed(s.sentReplies, replies)
	if gone || req.Answered != s.sentSequence || s.sentSequence == 0 {
		r.Tokens, r.TokensFull = replies, true
	} else {
		r.Tokens = changed
	}
	s.sentReplies, s.sentSequence = replies, req.Sequence
}
