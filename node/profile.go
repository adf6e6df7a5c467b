package node

import (
	"net/http"
	"time"

	"github.com/zinniapier/zinniapier/gateway"
	"github.com/zinniapier/zinniapier/host"
)

// Profile adapts a node to a platform that speaks to callers, targets and the node itself in
// its own way. The zero value is the product's own interface.
type Profile struct {
	// Dialect translates the headers of callers and targets.
	Dialect gateway.Dialect
	// Origin is the service of the target on this host, told to targets with each request.
	Origin string
	// AnnounceHandler takes the announcements of targets in place of the product's own.
	AnnounceHandler func(*host.Registry) http.Handler
	// ReadyAddress is where ReadyHandler is served, host:port; empty for none.
	ReadyAddress string
	ReadyHandler func(ready func() bool) http.Handler
	// WithoutLease lets the node go on serving what needs no ownership when its lease has ended.
	WithoutLease bool
	// RestartsInPlace says that a node that is stopped comes back while its target goes on: it
	// leaves without handing its partitions over.
	RestartsInPlace bool
	// ReturnsAfter is the time from the end of such a node until it serves again.
	ReturnsAfter time.Duration
	// Notice is how long such a node goes on serving after it has said that it is not ready, so
	// that its callers turn to others.
	Notice time.Duration
	// LeaveLimit bounds a graceful leave. Default defaultLeaveLimit.
	LeaveLimit time.Duration
	// MemberTimeout is the wait for one control member. Default session.DefaultMemberTimeout.
	MemberTimeout time.Duration
	// MemberPatience is the Patience of session.Options.
	MemberPatience int
	// LongestHold bounds how long a target that pulls its grants holds them.
	LongestHold time.Duration
	// Reseed is that of session.Options.
	Reseed func() []string
	// PullInterval is the usual time between two announcements of such a target.
	PullInterval time.Duration
	// Calls is that of host.Options.
	Calls host.RangeCalls
	// AdmitDraining and AdmitOut are those of host.Options; AdmitDraining is also AdmitLeaving of gateway.Options.
	AdmitDraining time.Duration
	AdmitOut      time.Duration
	// Silence and RetryBurst are those of gateway.Options.
	Silence    time.Duration
	RetryBurst int
	// TargetChoice is the policy of services that name none.
	TargetChoice string
	// FixedLimit lets a target run as many requests as it has slots, whatever its latency.
	FixedLimit bool
	// MemoryBytes and Descriptors are those of connlimit.Derive.
	MemoryBytes int64
	Descriptors int
	// FirstSlots limits the running requests until the target has responded to one; 0 means no limit.
	FirstSlots int
}

// silentPulls is the number of announcements of a pulling target that may fail to come before
// it counts as silent.
const silentPulls = 3

// Spans and bounds of a node whose target pulls its grants.
const (
	// pulledSilence is above the usual time of a request, so that most cost no question.
	pulledSilence = 600 * time.Millisecond
	// pulledRetryBurst keeps the sum over some eighty nodes within the slack that a service has for
	// repeats.
	pulledRetryBurst = 2
	// pulledFirstSlots is within what a target that names a rate allows beyond it.
	pulledFirstSlots = 4
	// pulledMemberTimeout covers a member that waits for a fraction of a core.
	pulledMemberTimeout = 400 * time.Millisecond
	// pulledMemberPatience covers a queue of 0.8 s on the link of a host; a lease lasts 5 s.
	pulledMemberPatience = 2
)

// Pulled fills in what suits targets that pull their grants.
func (p Profile) Pulled() Profile {
	p.Silence, p.RetryBurst = pulledSilence, pulledRetryBurst
	p.MemberTimeout, p.MemberPatience = pulledMemberTimeout, pulledMemberPatience
	p.FixedLimit = true
	p.FirstSlots = pulledFirstSlots
	p.TargetChoice = gateway.NearChoice
	return p
}
