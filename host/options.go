package host

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Defaults of Options.
const (
	// DefaultLostAfter is the time without an acknowledged order after which a target is lost.
	DefaultLostAfter = 400 * time.Millisecond
	// DefaultGrantTTL is the maximum time for which one order extends grants.
	DefaultGrantTTL = 500 * time.Millisecond
)

// Gate is the admission control of one target.
type Gate interface {
	// Load returns the moving average of running requests, and reports whether the target is in its
	// cold-start ramp.
	Load() (load float64, cold bool)
	// ColdStart reports whether the target is in its cold-start ramp, or in a cold start that it has stated.
	ColdStart() bool
	// Requests returns the number of requests that run or wait.
	Requests() int
	// ServiceTime returns the mean service time; 0 when it is not known.
	ServiceTime() time.Duration
	// Capacity returns the learned number of requests that the target runs well at once; 0 when it is not known.
	Capacity() float64
	// SetColdRate limits the target to rate request starts per second for the duration d. A d of 0
	// ends the limit, and a rate of 0 means no limit.
	SetColdRate(d time.Duration, rate float64)
	// SetNamedRate limits the target to the rate that it has named, in requests per second; negative means none.
	SetNamedRate(rate float64)
	// NamedRate returns the limit in use, in requests per second; 0 for none.
	NamedRate() float64
}

// Options configures a Registry.
type Options struct {
	// Zone is the availability zone of the node.
	Zone string
	// View returns the latest view of the session; never nil.
	View func() *api.View
	// Wake makes the session send a heartbeat at once. It must not block.
	Wake func()
	// NewGate returns the gate of a newly announced target.
	NewGate func(api.Announcement) Gate
	// OrderInterval is the time between two orders. Default api.DefaultHeartbeat.
	OrderInterval time.Duration
	// DrainLimit bounds the wait for requests in flight of a partition that moves. Default
	// api.DefaultDrainLimit.
	DrainLimit time.Duration
	// DriftMargin is added to the expiry of grants at a target, for clock drift. Default
	// api.DefaultDriftMargin.
	DriftMargin time.Duration
	// LostAfter is the time without an acknowledged order, or an announcement of a pulling target, after
	// which a target is lost. Default DefaultLostAfter.
	LostAfter time.Duration
	// GrantTTL is the maximum time for which one order extends grants. Default DefaultGrantTTL.
	GrantTTL time.Duration
	// Host is the name of the host in the reported addresses of pulling targets.
	Host string
	// MaxHold bounds the time for which a pulling target may keep its grants without a new reply.
	// Default api.DefaultLease.
	MaxHold time.Duration
	// DrainAdmitLimit is how long a pulling target still gets requests after it started to drain,
	// OutAdmitLimit the same after it or its zone was taken out. By then its partitions have moved,
	// unless control was slow. 0 means as long as it owns them.
	DrainAdmitLimit time.Duration
	OutAdmitLimit   time.Duration
	// Calls translates the grants of services whose targets get them by calls; nil if there are none.
	Calls RangeCalls
	// HeartbeatInterval is the usual time between two announcements of a pulling target. Default
	// api.DefaultHeartbeat.
	HeartbeatInterval time.Duration
	// Lease is the longest session lease of a node; 0 means that MaxHold bounds it.
	Lease time.Duration
	// MaxGrantWait bounds how long a request waits for a grant that the target has not yet
	// acknowledged. Default defaultMaxGrantWait.
	MaxGrantWait time.Duration
}

func (o *Options) setDefaults() {
	setDuration(&o.OrderInterval, api.DefaultHeartbeat)
	setDuration(&o.DrainLimit, api.DefaultDrainLimit)
	setDuration(&o.DriftMargin, api.DefaultDriftMargin)
	setDuration(&o.LostAfter, DefaultLostAfter)
	setDuration(&o.GrantTTL, DefaultGrantTTL)
	setDuration(&o.MaxHold, api.DefaultLease)
	setDuration(&o.HeartbeatInterval, api.DefaultHeartbeat)
	setDuration(&o.MaxGrantWait, defaultMaxGrantWait)
	if o.Wake == nil {
		o.Wake = func() {}
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
