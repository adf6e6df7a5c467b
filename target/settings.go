package target

import (
	"time"

	"github.com/zinniapier/zinniapier/config"
)

// OptionsFrom returns the options of a sample target that the settings describe.
func OptionsFrom(s config.TargetSettings) SampleOptions {
	return SampleOptions{
		Name:         s.Listen,
		Zone:         s.Zone,
		Service:      s.Service,
		Version:      s.Version,
		Listen:       s.Listen,
		Advertise:    s.Advertise,
		Node:         s.NodeAnnounce,
		Slots:        s.Slots,
		ColdSlots:    s.ColdSlots,
		Ramp:         time.Duration(s.RampMs) * time.Millisecond,
		ChecksGrants: s.ChecksGrants == nil || *s.ChecksGrants,
		Behaviour:    Behaviour{WorkMs: s.WorkMs},
	}
}
