package bench

import (
	"slices"
	"time"
)

const (
	// withinMargin is the ratio of rate to offered load of the load "within", so that the
	// limiter refuses nothing and the other policies are judged alone.
	withinMargin = 4
	// coldWorkFactor lengthens the work in the scenario "cold", so that a target has several
	// requests at work and a cold one cannot bear them.
	coldWorkFactor = 4
	floodSlots     = 4
	floodWork      = 10 * time.Millisecond
	// floodExcess is the ratio of the flood to what the flooded target can serve.
	floodExcess = 1.5
	floodOthers = 25.0 // requests per second of each other organisation
	// zipfExponent skews the popularity of keys: the first of 200 keys gets about 30%.
	zipfExponent = 1.3
)

// loads are the names of the selectable loads: "over" has an organisation that sends several
// times its rate, "within" has none.
var loads = []string{"over", "within"}

// shapes change a deployment for the scenario of that name.
var shapes = map[string]func(d *Deployment){
	"cold":     func(d *Deployment) { d.scaleWork(coldWorkFactor) },
	"flood":    (*Deployment).flood,
	"hot-keys": (*Deployment).skewKeys,
}

// shaped returns the deployment as the load and the scenario need it.
func (d Deployment) shaped(load, scenario string) Deployment {
	d.Services = slices.Clone(d.Services)
	d.Tenants = slices.Clone(d.Tenants)
	if load == "within" {
		d.keepWithinRates()
	}
	if shape := shapes[scenario]; shape != nil {
		shape(&d)
	}
	return d
}

func (d *Deployment) keepWithinRates() {
	for i := range d.Tenants {
		t := &d.Tenants[i]
		t.Offered = t.Organisation.Rate * usualShare
		t.allow(t.Offered)
	}
}

// allow sets a rate and a burst that leave the offered rate alone.
func (t *OfferedTenant) allow(offered float64) {
	t.Organisation.Rate = offered * withinMargin
	t.Organisation.Burst = t.Organisation.Rate
}

func (d *Deployment) scaleWork(factor time.Duration) {
	for i := range d.Services {
		d.Services[i].Work *= factor
	}
}

// flood lets the first organisation send more to one key, within its rate, than the target
// that owns the key can serve. The others send a little to all keys.
func (d *Deployment) flood() {
	first := &d.Services[0]
	first.Slots, first.Work = floodSlots, floodWork
	for i := range d.Tenants {
		t := &d.Tenants[i]
		t.Offered = floodOthers
		if i == 0 {
			t.Offered = floodExcess * floodSlots / floodWork.Seconds()
			t.Keys = 1
			t.FirstServiceOnly = true
		}
		t.allow(t.Offered)
	}
}

func (d *Deployment) skewKeys() {
	for i := range d.Tenants {
		d.Tenants[i].KeyExponent = zipfExponent
	}
}
