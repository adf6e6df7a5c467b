package tokens

import (
	"maps"

	"github.com/zinniapier/zinniapier/api"
)

// Reporter is the account behind an Outbox; Account implements it.
type Reporter interface {
	Report() map[api.OrganisationID]api.TokenReport
	Apply(term uint64, replies map[api.OrganisationID]api.TokenReply)
}

// NodeSync reduces the token reports of heartbeats to what the leader does not know, and completes
// its answers. Most organisations have no request at a node between two heartbeats. It is not safe for
// concurrent use.
type NodeSync struct {
	account Reporter
	// held holds the reports that the leader has answered.
	held map[api.OrganisationID]api.TokenReport
	// unsure are the reports of the last heartbeat without a reply: the leader may have taken them in or
	// not. Later heartbeats repeat them, so it covers all that are not answered.
	unsure map[api.OrganisationID]api.TokenReport
	// full says that the leader has answered a full report of this session.
	full bool
	// replies are the answers of the leader to the heartbeat of the sequence answered.
	replies  map[api.OrganisationID]api.TokenReply
	answered uint64
}

// NewNodeSync returns an outbox that has sent nothing.
func NewNodeSync(account Reporter) *NodeSync { return &NodeSync{account: account} }

// Reset forgets everything, for a new session.
func (o *NodeSync) Reset() { *o = NodeSync{account: o.account} }

// Report puts the changed reports into a heartbeat. What was sent in one without a reply is sent again.
func (o *NodeSync) Report(req *api.HeartbeatRequest) {
	reports := o.account.Report()
	unsureGone := false
	for id := range o.unsure {
		delete(o.held, id) // what the leader may not have counts as changed
		if _, found := reports[id]; !found {
			unsureGone = true
		}
	}
	changed, heldGone := api.Changed(o.held, reports)
	if o.full && !heldGone && !unsureGone {
		req.Tokens = changed
	} else {
		o.full, o.held = false, nil
		req.Tokens, req.TokensFull = reports, true
	}
	req.Answered = o.answered
	o.unsure = req.Tokens
}

// Apply takes in the reply to the last heartbeat.
func (o *NodeSync) Apply(req *api.HeartbeatRequest, r *api.HeartbeatReply) {
	if r.TokensAgain {
		o.Reset()
		return
	}
	if o.held == nil {
		o.held = make(map[api.OrganisationID]api.TokenReport, len(o.unsure))
	}
	maps.Copy(o.held, o.unsure)
	o.full, o.unsure = true, nil
	if r.TokensFull || o.replies == nil {
		o.replies = make(map[api.OrganisationID]api.TokenReply, len(r.Tokens))
	}
	maps.Copy(o.replies, r.Tokens)
	o.answered = req.Sequence
	o.account.Apply(r.Term, o.replies)
}
