package sim

import (
	"maps"
	"slices"
	"time"
)

// SweepKinds lists what can be swept.
func SweepKinds() []string {
	return []string{"group", "moves", "place", "control", "delivery", "delays", "stops", "keys", "ceiling"}
}

// Sweep says how each seed of a sweep is run.
type Sweep struct {
	Kind string
	Only []string      // faults to mix, by name; empty for all of the kind
	Span time.Duration // for how long a whole deployment is troubled; 0 for the usual time
}

// Seed runs one seed and returns what was broken, with the trace.
func (s Sweep) Seed(seed uint64) (broken, trace []string) {
	only := s.Only
	switch s.Kind {
	case "group":
		g := RunGroup(seed, mixed(GroupFaults, only...)...)
		return g.Broken, g.Trace
	case "moves":
		g := RunMoves(seed, mixed(GroupFaults, only...)...)
		return g.Broken, g.Trace
	case "place":
		p, breaches := RunPlaces(seed, mixed(PlaceFaults, only...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, p.Trace
	case "keys":
		k := RunKeys(seed, mixed(PlaceFaults, only...)...)
		return k.Broken, k.Trace
	case "control":
		return s.control(seed)
	case "delivery":
		d, breaches := RunDeliveries(seed, mixed(DeliveryFaults, only...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	case "delays":
		d, breaches := RunDelays(seed, mixed(DelayFaults, only...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	case "ceiling":
		d, breaches := RunCeiling(seed, mixed(DeliveryFaults, only...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	case "stops":
		d, breaches := RunStops(seed)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	}
	return []string{"no such kind"}, nil
}

// control runs a seed of both worlds of the control side, where they have the
// troubles that are asked for.
func (s Sweep) control(seed uint64) (broken, trace []string) {
	only := s.Only
	if faults := mixed(ControlFaults, only...); len(faults) > 0 {
		c := RunControl(seed, faults...)
		broken, trace = c.Broken, c.Trace
	}
	if troubles := len(namesOf(Losses, only)) + len(namesOf(Herds, only)); troubles > 0 || slices.Contains(only, Retirements) || slices.Contains(only, Evacuations) {
		d := RunDeployment(DeploymentOptions{Seed: seed, Only: only, Span: s.Span})
		broken, trace = append(broken, d.Broken()...), append(append(trace, "the deployment:"), d.Trace...)
	}
	return broken, trace
}

func mixed[F any](faults map[string]F, only ...string) []F {
	out := []F{}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		if len(only) == 0 || slices.Contains(only, name) {
			out = append(out, faults[name])
		}
	}
	return out
}
