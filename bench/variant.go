package bench

import (
	"sort"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/config"
)

// Variant is one setting of the policies that are compared.
type Variant struct {
	Name    string         `json:"name"`
	Gate    config.Gate    `json:"gate"`
	Traffic config.Traffic `json:"traffic"`
	// TargetChoice and Placement name plug-ins; empty means the default.
	TargetChoice string `json:"target_choice,omitempty"`
	Placement    string `json:"placement,omitempty"`
}

// variants are the default policies and, for each, the baseline that it must beat.
var variants = map[string]func(v *Variant, nodes int){
	"default":          func(*Variant, int) {},
	"random-choice":    func(v *Variant, _ int) { v.TargetChoice = "random" },
	"no-hedge":         func(v *Variant, _ int) { v.Traffic.HedgeShare = new(float64) },
	"fifo":             func(v *Variant, _ int) { v.Gate.Queue = "fifo" },
	"no-ramp":          func(v *Variant, _ int) { v.Gate.ColdStart = new(bool) },
	"random-placement": func(v *Variant, _ int) { v.Placement = "random" },
	"static-limiter": func(v *Variant, nodes int) {
		v.Traffic.Limiter = config.LimiterStatic
		v.Traffic.StaticNodes = nodes
	},
}

// VariantNames returns the names of the selectable variants in order.
func VariantNames() []string {
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewVariant returns the variant of that name for a deployment of that many nodes.
func NewVariant(name string, nodes int) (Variant, error) {
	edit, ok := variants[name]
	if !ok {
		return Variant{}, errors.NotFoundf("variant %q", name)
	}
	settings := config.DefaultNodeSettings()
	v := Variant{Name: name, Gate: settings.Gate, Traffic: settings.Traffic}
	edit(&v, nodes)
	return v, nil
}
