package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/local"
)

// PolicyReport holds the measures by which placement, gates and zone changes are judged.
type PolicyReport struct {
	// LateP50Ms and LateP99Ms are by how much the generator sent after the scheduled arrivals.
	// They are part of the latencies.
	LateP50Ms float64 `json:"late_p50_ms"`
	LateP99Ms float64 `json:"late_p99_ms"`
	// ServiceP99Ms is the latency by service.
	ServiceP99Ms map[string]float64 `json:"service_p99_ms"`
	// Failed counts the requests that were not served, those beyond a rate aside.
	Failed int `json:"failed"`
	// OthersP99Ms is the latency of all organisations but the one that offers most.
	OthersP99Ms float64 `json:"others_p99_ms"`
	// Imbalance is max over mean of the runs of the targets of the first service, in the
	// second half of the time.
	Imbalance float64 `json:"imbalance"`
	// Moved counts changes of the owner of a partition.
	Moved int `json:"moved"`
	// Detected and Stated count the cold starts that gates inferred from latency and that
	// targets signalled.
	Detected int `json:"cold_starts_detected"`
	Stated   int `json:"cold_starts_stated"`
	// ChangeP99Ms is the latency shortly after a zone was taken out or returned.
	ChangeP99Ms float64 `json:"zone_change_p99_ms"`
	// LastWorkMs is the time until a zone that was taken out started no more work.
	LastWorkMs float64 `json:"zone_last_work_ms"`
}

func newPolicyReport(d Deployment, samples []Sample, w *watcher, zoneStarts []time.Duration) PolicyReport {
	most := slices.MaxFunc(d.Tenants, func(x, y OfferedTenant) int { return cmp.Compare(x.Offered, y.Offered) })
	others := hdrhistogram.New(1, histogramMax, histogramPrecision)
	change := hdrhistogram.New(1, histogramMax, histogramPrecision)
	r := PolicyReport{Imbalance: w.imbalance(d.Services[0].Targets), Moved: w.moved}
	services := make(map[string]*hdrhistogram.Histogram)
	for _, p := range d.Services {
		services[p.Service.Name] = hdrhistogram.New(1, histogramMax, histogramPrecision)
	}
	late := hdrhistogram.New(1, histogramMax, histogramPrecision)
	for i := range samples {
		s := &samples[i]
		_ = late.RecordValue(min(s.Late.Microseconds(), histogramMax))
		if !s.Served() {
			if s.Kind != errkind.RateLimited {
				r.Failed++
			}
			continue
		}
		// Values beyond the range are cut to it by the bound on the request time.
		latency := min(s.Latency.Microseconds(), histogramMax)
		_ = services[s.Service].RecordValue(latency)
		if s.Organisation != most.Organisation.ID {
			_ = others.RecordValue(latency)
		}
		if w.changing(s.Arrival) {
			_ = change.RecordValue(latency)
		}
	}
	r.LateP50Ms = quantileMs(late, 50)
	r.LateP99Ms = quantileMs(late, 99)
	r.ServiceP99Ms = make(map[string]float64)
	for name, h := range services {
		r.ServiceP99Ms[name] = quantileMs(h, 99)
	}
	r.OthersP99Ms = quantileMs(others, 99)
	r.ChangeP99Ms = quantileMs(change, 99)
	if w.zoneOut > 0 {
		r.LastWorkMs = float64(w.lastWork(zoneStarts)) / float64(time.Millisecond)
	}
	r.addGates(w.d)
	return r
}

func (r *PolicyReport) addGates(d *local.Deployment) {
	for _, n := range d.Nodes {
		for _, stats := range n.Gates() {
			r.Detected += stats.ColdStartsDetected
			r.Stated += stats.ColdStartsReported
		}
	}
}
