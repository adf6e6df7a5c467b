package tokens

import (
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
)

// scriptedReporter returns the reports that the test sets and records the replies.
type scriptedReporter struct {
	reports map[api.OrganisationID]api.TokenReport
	replies map[api.OrganisationID]api.TokenReply
}

func (r *scriptedReporter) Report() map[api.OrganisationID]api.TokenReport {
	return maps.Clone(r.reports)
}

func (r *scriptedReporter) Apply(_ uint64, replies map[api.OrganisationID]api.TokenReply) {
	r.replies = maps.Clone(replies)
}

// Guards against heartbeats that carry unchanged reports and replies: these filled links when every
// heartbeat listed all organisations.
func TestUnchangedReportsAreNotSent(t *testing.T) {
	is := is.New(t)
	account := &scriptedReporter{reports: map[api.OrganisationID]api.TokenReport{"a": {Arrivals: 1}, "b": {Arrivals: 1}}}
	out, in := NewNodeSync(account), new(LeaderSync)
	replies := map[api.OrganisationID]api.TokenReply{"a": {Issued: 3}, "b": {Issued: 4}}
	exchange := func(sequence uint64) (*api.HeartbeatRequest, *api.HeartbeatReply) {
		req, reply := &api.HeartbeatRequest{Sequence: sequence}, new(api.HeartbeatReply)
		out.Report(req)
		_, known := in.MergeReports(req)
		is.True(known)
		in.FillReply(reply, req, maps.Clone(replies))
		out.Apply(req, reply)
		return req, reply
	}
	exchange(1)
	req, reply := exchange(2)
	is.Equal(len(req.Tokens), 0)
	is.Equal(len(reply.Tokens), 0)
	account.reports["b"] = api.TokenReport{Arrivals: 2}
	replies["a"] = api.TokenReply{Issued: 5}
	req, reply = exchange(3)
	is.Equal(req.Tokens, map[api.OrganisationID]api.TokenReport{"b": {Arrivals: 2}})
	is.Equal(reply.Tokens, map[api.OrganisationID]api.TokenReply{"a": {Issued: 5}})
	is.Equal(account.replies, replies)
}

// Guards against reports that count as received by the leader because an earlier heartbeat was answered late.
func TestLateReplyAcknowledgesItsOwnReports(t *testing.T) {
	is := is.New(t)
	account := &scriptedReporter{reports: map[api.OrganisationID]api.TokenReport{"a": {Arrivals: 1}, "b": {Arrivals: 1}}}
	out, in := NewNodeSync(account), new(LeaderSync)
	first, reply := &api.HeartbeatRequest{Sequence: 1}, new(api.HeartbeatReply)
	out.Report(first)
	in.MergeReports(first)
	in.FillReply(reply, first, map[api.OrganisationID]api.TokenReply{"a": {Issued: 3}})
	account.reports["b"] = api.TokenReport{Arrivals: 2}
	out.Report(&api.HeartbeatRequest{Sequence: 2}) // to another member, which does not lead
	out.Apply(first, reply)
	is.Equal(account.replies, map[api.OrganisationID]api.TokenReply{"a": {Issued: 3}})
	third := &api.HeartbeatRequest{Sequence: 3}
	out.Report(third)
	reports, known := in.MergeReports(third)
	is.True(known)
	is.Equal(reports, account.reports)
	delete(account.reports, "a")
	fourth := &api.HeartbeatRequest{Sequence: 4}
	out.Report(fourth)
	is.True(fourth.TokensFull) // the leader still has the reports of "a"
}

// Guards against outdated reports at the leader and outdated replies at the node when messages are
// lost, leaders change and sessions are renewed.
func TestReportsAndRepliesStayComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		orgs := []api.OrganisationID{"a", "b", "c"}
		account := &scriptedReporter{reports: make(map[api.OrganisationID]api.TokenReport)}
		out, in := NewNodeSync(account), new(LeaderSync)
		for sequence := uint64(1); sequence < 40; sequence++ {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0:
				in = new(LeaderSync) // another leader
			case 1:
				out.Reset()
				in, sequence = new(LeaderSync), 1
			case 2:
				delete(account.reports, rapid.SampledFrom(orgs).Draw(t, "removed"))
			default:
				account.reports[rapid.SampledFrom(orgs).Draw(t, "changed")] = api.TokenReport{Demand: rapid.Int64Range(0, 2).Draw(t, "demand")}
			}
			req, reply := &api.HeartbeatRequest{Sequence: sequence}, new(api.HeartbeatReply)
			out.Report(req)
			if rapid.IntRange(0, 3).Draw(t, "request lost") == 0 {
				continue
			}
			reports, known := in.MergeReports(req)
			replies := make(map[api.OrganisationID]api.TokenReply)
			if known {
				if !maps.Equal(reports, account.reports) {
					t.Fatalf("leader has reports %v, node %v", reports, account.reports)
				}
				for _, id := range orgs {
					if rapid.Bool().Draw(t, "answered") {
						replies[id] = api.TokenReply{Issued: rapid.Int64Range(0, 2).Draw(t, "issued")}
					}
				}
				in.FillReply(reply, req, maps.Clone(replies))
			} else {
				reply.TokensAgain = true
			}
			if rapid.IntRange(0, 3).Draw(t, "reply lost") == 0 {
				continue
			}
			out.Apply(req, reply)
			if known && !maps.Equal(account.replies, replies) {
				t.Fatalf("node has replies %v, leader sent %v", account.replies, replies)
			}
		}
	})
}
