package tokens

import (
	"maps"

	"github.com/zinniapier/zinniapier/api"
)

// LeaderSync completes the token reports of a session, whose heartbeats carry only what has changed, and
// selects the answers that the node does not hold yet. The zero value knows nothing.
type LeaderSync struct {
	known   bool // a full report was taken in
	reports map[api.OrganisationID]api.TokenReport
	// told are the answers to the heartbeat of the sequence toldIn.
	told   map[api.OrganisationID]api.TokenReply
	toldIn uint64
}

// MergeReports returns all reports of the session. It returns false when earlier ones are not known here; the
// node has to send all of them again.
func (i *LeaderSync) MergeReports(req *api.HeartbeatRequest) (map[api.OrganisationID]api.TokenReport, bool) {
	if req.TokensFull {
		i.known, i.reports = true, make(map[api.OrganisationID]api.TokenReport, len(req.Tokens))
	}
	if i.known {
		maps.Copy(i.reports, req.Tokens)
	}
	return i.reports, i.known
}

// Synced says whether all reports of the session are known.
func (i *LeaderSync) Synced() bool { return i.known }

// FillReply puts into the reply what differs from the answers that the node holds.
func (i *LeaderSync) FillReply(r *api.HeartbeatReply, req *api.HeartbeatRequest, replies map[api.OrganisationID]api.TokenReply) {
	changed, gone := api.Changed(i.told, replies)
	if gone || req.Answered != i.toldIn || i.toldIn == 0 {
		r.Tokens, r.TokensFull = replies, true
	} else {
		r.Tokens = changed
	}
	i.told, i.toldIn = replies, req.Sequence
}
