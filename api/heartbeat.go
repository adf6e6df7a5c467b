package api

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// TargetState is the node's view of one of its targets.
type TargetState string

// States of a target as its node reports them.
const (
	TargetServing  TargetState = "serving"
	TargetDraining TargetState = "draining" // asked to leave; gets no new grants
	TargetLost     TargetState = "lost"     // process gone, or not answering orders
)

// FinalAnnouncement is above the sequence of any announcement.
const FinalAnnouncement = math.MaxUint64

// TargetReport describes a target in a heartbeat.
type TargetReport struct {
	ID      TargetID `json:"id"`
	Service string   `json:"service"`
	// Version is that of the software of the target; empty when it states none.
	Version string      `json:"version,omitempty"`
	Zone    string      `json:"zone"`
	Slots   int         `json:"slots"`
	State   TargetState `json:"state"`
	// Cold says that the target is still in its cold-start ramp.
	Cold bool `json:"cold"`
	// Warming says that the target is in its cold-start ramp or in a cold start that it has stated. Placement goes by
	// Cold, since the stated one bounds the rate of requests at the gate.
	Warming bool `json:"warming,omitempty"`
	// Load is the moving average of requests in progress at the gate.
	Load float64 `json:"load"`
	// ServiceMs is the mean service time in milliseconds; 0 when it is not known.
	ServiceMs int64 `json:"service_ms,omitempty"`
	// Running is the number of requests that run or wait at the target.
	Running int `json:"running,omitempty"`
	// Capacity is the learned number of requests that the target runs well at once; 0 when it is not known.
	Capacity float64 `json:"capacity,omitempty"`
	// RateLimit is the number of requests per second that the target takes; 0 when it names no limit.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// Place names the address on a host where only one target can run at a time: another target
	// that is reported for it proves that this one has ended. Empty when there is no such proof.
	Place string `json:"place,omitempty"`
	// Announced is the sequence of the latest announcement of a pulling target, and FinalAnnouncement once
	// it has said that it stops for ever.
	Announced uint64 `json:"announced,omitempty"`
	// StartedMs orders the targets that were reported for one place: Unix milliseconds of the start.
	StartedMs int64 `json:"started_ms,omitempty"`
	// PartitionLoad is the recent requests per second by partition; idle partitions are left out.
	PartitionLoad map[int]float64 `json:"partition_load,omitempty"`
	// HotKeys are single keys with a large share of the load of their partition.
	HotKeys []HotKey `json:"hot_keys,omitempty"`
}

// Departure says that each target at a place that was started before a time leaves for ever, whether it is known or not.
type Departure struct {
	Place    string `json:"place"`
	BeforeMs int64  `json:"before_ms"` // Unix milliseconds
}

// HotKey is a single key with its recent load in requests per second.
type HotKey struct {
	Key  string  `json:"key"`
	Load float64 `json:"load"`
}

// Released reports that a grant has ended: nothing runs under it and the target has
// acknowledged the revoke or its grant has expired.
type Released struct {
	PartitionRef
	Epoch Epoch `json:"epoch"`
	// Handover is the token that the target gave with the release, if any.
	Handover string `json:"handover,omitempty"`
}

// TokenReport is a node's account for one organisation. All counts are cumulative over
// the session, so that a lost message is healed by the next.
type TokenReport struct {
	Issued   int64 `json:"issued"`   // the greatest Issued that the node has received
	Settled  int64 `json:"settled"`  // tokens spent for good
	Returned int64 `json:"returned"` // tokens given back unused
	// Arrivals counts all requests of the organisation that asked for a token, refused ones too.
	Arrivals int64 `json:"arrivals"`
	// Demand is the number of tokens that the node wants to hold now, those of requests in
	// progress included.
	Demand int64 `json:"demand"`
	// Waiting is the part of Demand that requests wait for.
	Waiting int64 `json:"waiting"`
}

// TokenReply is the leader's answer to a TokenReport.
type TokenReply struct {
	Issued int64 `json:"issued"` // tokens issued to the session, cumulative
	// Floor is the number of tokens that the node keeps even without demand.
	Floor int64 `json:"floor"`
	// Scarce says that requests wait at some node for tokens that idle nodes may hold.
	Scarce bool `json:"scarce"`
	// Exhausted says that one central bucket would be empty, so that waiting is of no use.
	Exhausted bool `json:"exhausted"`
	// Share is the part of the organisation's arrivals that the session had of late, from 0 to 1, which
	// the node may admit by itself when no leader issues tokens. It counts only when Shared is set.
	Share  float64 `json:"share"`
	Shared bool    `json:"shared"`
}

// HeartbeatRequest renews the session of a node.
type HeartbeatRequest struct {
	Session SessionID
	// Sequence grows by one with each heartbeat of the session.
	Sequence uint64
	// Term is the greatest raft term of which the node has received a reply. A heartbeat that
	// carries the leader's own term was sent after the leader took over.
	Term         uint64
	Name         string
	Zone         string
	InternalAddr string // request hop, host:port
	FateAddr     string // net/rpc service of the node, host:port
	CallerAddr   string // caller listener, host:port
	// Hosts is the service of the target on this host by the node's settings; empty when they name none.
	Hosts         string
	ConfigVersion uint64
	MapVersion    uint64
	// AccessHash is that of the configuration that the node holds; 0 without one.
	AccessHash uint64
	// PeersVersion is the version of the list of nodes that the node holds.
	PeersVersion uint64
	Targets      []TargetReport
	Released     []Released
	// Departures are the recent ones; they are repeated for a while.
	Departures []Departure
	// Tokens holds all accounts when TokensFull is set, else those that differ from what the leader
	// has answered.
	Tokens     map[OrganisationID]TokenReport
	TokensFull bool
	// Answered is the sequence of the last heartbeat of the session whose reply the node has taken in; 0 is none.
	Answered uint64
	// Outcomes are the counts of local targets whose service has a running roll-out.
	Outcomes []TargetOutcomes
	// Leaving says that the node is shutting down: its targets get no new grants and
	// its session ends with the first heartbeat that carries Final.
	Leaving bool
	// Final ends the session at once: the node admits nothing any more and all its grants are released.
	Final bool
}

// Peer is another node as the control leader knows it.
type Peer struct {
	Session      SessionID
	Name         string
	Zone         string
	InternalAddr string
	FateAddr     string
	CallerAddr   string
	Targets      []PeerTarget
}

// PeerTarget is a target behind a peer that may receive requests.
type PeerTarget struct {
	ID      TargetID
	Service string
	Version string
	Slots   int
	State   TargetState
	// Out says that operators took the target or its zone out.
	Out bool
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// Term is the raft term of the answering leader; the node ignores lower ones.
	Term uint64
	// Lease is counted by the node from the moment it sent the heartbeat.
	Lease time.Duration
	// Configuration is set when the node's version differs from the current one. It leaves out the
	// organisations and organisation keys if the node holds them.
	Configuration PackedConfiguration
	ConfigVersion uint64
	// Splits replace Configuration when SplitsBase is set: ConfigVersion differs from SplitsBase, which
	// the node has, by these splits only.
	Splits     []ServiceSplit
	SplitsBase uint64
	// Map is a full copy when MapFull is set, else the entries changed since the node's version.
	Map        AssignmentUpdates
	MapFull    bool
	MapVersion uint64
	// Peers is the full list of nodes when PeersFull is set, else those that are new or differ from
	// the list of version PeersBase, which the node holds; PeersGone have left that list. Versions
	// are comparable only under one term.
	Peers        PeerUpdates
	PeersGone    []SessionID
	PeersBase    uint64
	PeersVersion uint64
	PeersFull    bool
	// Tokens holds the organisations for which the session has an account at the leader: all of them
	// when TokensFull is set, else those that differ from the reply to the heartbeat Answered.
	Tokens     map[OrganisationID]TokenReply
	TokensFull bool
	// TokensAgain says that the leader does not know the accounts; the node has to send all of them.
	TokensAgain bool
	// Issues says that the leader issues tokens; a new one may have to wait.
	Issues bool
	// Departures are those of the request that are committed, so that no restart forgets them, and committed ones of targets that
	// the request reports as present.
	Departures []Departure
	// Members are the addresses of the control members' rpc listeners.
	Members []string
}

// AssignmentUpdate is one changed assignment.
type AssignmentUpdate struct {
	PartitionRef
	Assignment
}

// FateRequest asks the owner's node what became of an attempt.
type FateRequest struct {
	Attempt string
	// Session is the one to which the attempt was sent.
	Session SessionID
	// Peek asks without barring an attempt that has not started.
	Peek bool
}

// FateReply answers a FateRequest. When Started is false and the request was no peek,
// the attempt has been barred for good.
type FateReply struct {
	Started bool
	// Former says that the session belongs to a former process, which may have started the attempt
	// and will not answer it.
	Former bool
	// Received says that the request of the attempt has reached the node.
	Received bool
}

// PeersDiffer reports whether the reply changes the list of nodes.
func (r *HeartbeatReply) PeersDiffer() bool {
	return r.PeersFull || len(r.Peers.List) > 0 || len(r.PeersGone) > 0
}

// MergePeers returns the list of nodes after the reply, sorted by session. The held list is not
// modified; it is returned when nothing differs.
func MergePeers(held []Peer, r *HeartbeatReply) []Peer {
	if r.PeersFull {
		return r.Peers.List
	}
	if !r.PeersDiffer() {
		return held
	}
	replaced := make(map[SessionID]bool, len(r.Peers.List)+len(r.PeersGone))
	for i := range r.Peers.List {
		replaced[r.Peers.List[i].Session] = true
	}
	for _, id := range r.PeersGone {
		replaced[id] = true
	}
	next := slices.DeleteFunc(slices.Clone(held), func(p Peer) bool { return replaced[p.Session] })
	next = append(next, r.Peers.List...)
	slices.SortFunc(next, func(x, y Peer) int { return cmp.Compare(x.Session, y.Session) })
	return next
}
