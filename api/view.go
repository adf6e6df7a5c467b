package api

import "time"

// View is the immutable snapshot that the session of a node publishes and that
// traffic goroutines read. Nothing in it is changed after publication.
type View struct {
	Session SessionID
	Zone    string
	// LeaseUntil is the end of the session lease; the zero time before the first heartbeat.
	LeaseUntil time.Time
	// LeaseEnd is the same by boottime.Now, which also counts while the machine is suspended.
	LeaseEnd time.Duration
	// RenewedAt is when the heartbeat was sent whose reply this view holds.
	RenewedAt time.Time
	// WithoutLease says that the node goes on serving what needs no ownership when its lease has
	// ended.
	WithoutLease  bool
	Term          uint64
	Configuration *Configuration
	// AccessHash is that of Configuration.
	AccessHash   uint64
	MapVersion   uint64
	Assignments  AssignmentTable
	Peers        []Peer
	PeersVersion uint64
	// Index holds look-ups derived from the fields above.
	Index *ViewIndex
}

// ViewIndex holds the look-ups of a View.
type ViewIndex struct {
	Organisations map[OrganisationID]*Organisation
	KeysByDigest  map[KeyDigest]*OrganisationKey
	Peers         map[SessionID]*Peer
	// Overrides maps service and key to the partition of a single hot key.
	Overrides map[string]map[string]int
	// TargetsByService lists the targets that may receive requests, those in the zone of the node first. It leaves
	// out targets whose version the last roll-out of the service does not admit, and those in Canaries.
	TargetsByService map[string][]TargetAt
	// Canaries holds the canary targets of services that are not partitioned, while there are any.
	Canaries map[string]*CanaryTargets
}

// CanaryTargets are the targets that get a share of the requests of a service during a roll-out.
type CanaryTargets struct {
	// Share is the share of the requests, from 0 to 1. It is that of the roll-out times the proportion of its canary
	// targets in Targets, so that the loss of some does not overload the others.
	Share float64
	// Targets are those in the zone of the node first.
	Targets []TargetAt
}

// TargetAt is a target and the node that it is reached through.
type TargetAt struct {
	Target PeerTarget
	Peer   *Peer
}

// LeaseValid reports whether the session lease covers now. A nil view has none.
func (v *View) LeaseValid(now time.Time) bool {
	return v != nil && now.Before(v.LeaseUntil)
}

// NewViewIndex derives the look-ups of v.
func NewViewIndex(v *View) *ViewIndex {
	x := new(ViewIndex)
	x.indexAccess(v.Configuration)
	x.indexOverrides(v.Configuration)
	x.indexPeers(v)
	return x
}

// Reindexed returns the index of v, whose parts that did not change are shared with x, the index of an
// older view.
func (x *ViewIndex) Reindexed(v *View, accessChanged, configurationChanged, peersChanged bool) *ViewIndex {
	next := *x
	if accessChanged {
		next.indexAccess(v.Configuration)
	}
	if configurationChanged {
		next.indexOverrides(v.Configuration)
	}
	if peersChanged || configurationChanged {
		next.indexPeers(v)
	}
	return &next
}

func (x *ViewIndex) indexAccess(c *Configuration) {
	x.Organisations = make(map[OrganisationID]*Organisation)
	x.KeysByDigest = make(map[KeyDigest]*OrganisationKey)
	if c == nil {
		return
	}
	for i := range c.Organisations {
		x.Organisations[c.Organisations[i].ID] = &c.Organisations[i]
	}
	for i := range c.Keys {
		x.KeysByDigest[c.Keys[i].Digest] = &c.Keys[i]
	}
}

func (x *ViewIndex) indexOverrides(c *Configuration) {
	x.Overrides = make(map[string]map[string]int)
	if c == nil {
		return
	}
	for _, o := range c.Overrides {
		if x.Overrides[o.Service] == nil {
			x.Overrides[o.Service] = make(map[string]int)
		}
		x.Overrides[o.Service][o.Key] = o.Partition
	}
}

func (x *ViewIndex) indexPeers(v *View) {
	x.Peers = make(map[SessionID]*Peer, len(v.Peers))
	x.TargetsByService = make(map[string][]TargetAt)
	x.Canaries = make(map[string]*CanaryTargets)
	for _, sameZone := range []bool{true, false} {
		for i := range v.Peers {
			if p := &v.Peers[i]; (p.Zone == v.Zone) == sameZone {
				x.addPeer(v.Configuration, p)
			}
		}
	}
	for service, canaries := range x.Canaries {
		r := v.Configuration.FindRollout(service)
		canaries.Share = r.Share * float64(len(canaries.Targets)) / float64(len(r.Canary))
	}
}

func (x *ViewIndex) addPeer(c *Configuration, p *Peer) {
	x.Peers[p.Session] = p
	for _, t := range p.Targets {
		if t.Out || t.State != TargetServing {
			continue
		}
		x.addTarget(c, TargetAt{Target: t, Peer: p})
	}
}

// addTarget adds a target that its node reports as serving, unless a roll-out keeps requests from it.
func (x *ViewIndex) addTarget(c *Configuration, at TargetAt) {
	service := at.Target.Service
	if r := c.FindRollout(service); r != nil {
		if !r.Admits(at.Target.ID, at.Target.Version) {
			return
		}
		s := c.Services.Find(service)
		if r.IsCanary(at.Target.ID) && s != nil && !s.Divided() {
			if x.Canaries[service] == nil {
				x.Canaries[service] = new(CanaryTargets)
			}
			x.Canaries[service].Targets = append(x.Canaries[service].Targets, at)
			return
		}
	}
	x.TargetsByService[service] = append(x.TargetsByService[service], at)
}

// Partition returns the partition of a key of a service divided by key.
func (v *View) Partition(s *Service, key string) int {
	if p, ok := v.Index.Overrides[s.Name][key]; ok {
		return p
	}
	return s.PartitionOf(key)
}

// Owner returns the assignment of a partition; its state is Unassigned when nobody owns it.
func (v *View) Owner(ref PartitionRef) Assignment {
	return *v.Assignments[ref.Service].At(ref.Partition)
}

// Usable reports whether undivided work may be admitted: while the lease is valid, or with any
// configuration when the node goes on without a lease.
func (v *View) Usable(now time.Time) bool {
	return v.LeaseValid(now) || v.WithoutLease && v.Configuration != nil
}

// OwnsAny reports whether the map assigns any partition to the view's own session.
func (v *View) OwnsAny() bool {
	for _, list := range v.Assignments {
		for _, a := range list.All() {
			if a.State != Unassigned && a.Session == v.Session {
				return true
			}
		}
	}
	return false
}
