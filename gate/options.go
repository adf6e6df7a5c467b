package gate

import (
	"time"

	"github.com/juju/errors"
)

// Defaults of Options.
const (
	DefaultSlots       = 20
	DefaultColdSlots   = 2
	DefaultRampStep    = 2 * time.Second
	DefaultQueueLength = 256
)

// Options configures a gate. Zero values mean the defaults.
type Options struct {
	// Slots is the maximum number of requests that the target runs at once.
	Slots int
	// ColdSlots is the number of slots at the start of the cold-start ramp.
	ColdSlots int
	// RampStep is the time after which the limit of a cold target doubles.
	RampStep time.Duration
	// Queue names the queue policy.
	Queue string
	// QueueLength is the maximum number of waiting requests.
	QueueLength int
	// NoColdStart disables the cold-start ramp.
	NoColdStart bool
	// FirstSlots is the maximum number of running requests until the target has responded to one, which may
	// name a rate; 0 means no such limit.
	FirstSlots int
	// FixedLimit disables the adaptive limit: the target may run as many requests as it has slots.
	FixedLimit bool
	// LearnCapacity limits the running requests to the number beyond which the target does not respond to more of
	// them per second, as far as that is known.
	LearnCapacity bool
	// CapacityChanged, if set, is told of a change of the learned capacity. It must not block or call the gate.
	CapacityChanged func(former, capacity int)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Check returns an error when the options are invalid.
func (o Options) Check() error {
	_, err := Queues.Get(o.withDefaults().Queue)
	return errors.Trace(err)
}

func (o Options) withDefaults() Options {
	o.Slots = defaultInt(o.Slots, DefaultSlots)
	o.ColdSlots = defaultInt(o.ColdSlots, DefaultColdSlots)
	o.QueueLength = defaultInt(o.QueueLength, DefaultQueueLength)
	if o.RampStep <= 0 {
		o.RampStep = DefaultRampStep
	}
	if o.Queue == "" {
		o.Queue = DefaultQueue
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func defaultInt(n, defaultValue int) int {
	if n <= 0 {
		return defaultValue
	}
	return n
}
