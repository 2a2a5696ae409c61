package sim

import (
	"maps"
	"slices"
	"time"
)

// SweepKinds lists the kinds of sweep.
func SweepKinds() []string {
	return []string{"group", "moves", "place", "control", "delivery", "delays", "stops", "keys", "ceiling"}
}

// Sweep selects the simulation and the faults that each seed of a sweep is run with.
type Sweep struct {
	Kind       string
	FaultNames []string      // faults to select from, by name; empty for all of the kind
	FaultTime  time.Duration // how long faults are injected into a deployment; 0 for the default
}

// RunSeed runs one seed and returns the breaches found and the trace.
func (s Sweep) RunSeed(seed uint64) (broken, trace []string) {
	names := s.FaultNames
	switch s.Kind {
	case "group":
		g := RunGroup(seed, selectFaults(GroupFaults, names...)...)
		return g.Breaches, g.Trace
	case "moves":
		g := RunRosterChanges(seed, selectFaults(GroupFaults, names...)...)
		return g.Breaches, g.Trace
	case "place":
		p, breaches := RunPlaceCluster(seed, selectFaults(PlaceFaults, names...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, p.Trace
	case "keys":
		k := RunOperationKeys(seed, selectFaults(PlaceFaults, names...)...)
		return k.Breaches, k.Trace
	case "control":
		return s.runControl(seed)
	case "delivery":
		d, breaches := RunDeliveries(seed, selectFaults(DeliveryFaults, names...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	case "delays":
		d, breaches := RunDelays(seed, selectFaults(DelayFaults, names...)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, d.Trace
	case "ceiling":
		d, breaches := RunCeiling(seed, selectFaults(DeliveryFaults, names...)...)
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
	return []string{"unknown kind of sweep"}, nil
}

// runControl runs one seed of both simulations of the control side, each only if it has any of the selected
// faults.
func (s Sweep) runControl(seed uint64) (broken, trace []string) {
	names := s.FaultNames
	if faults := selectFaults(ControlFaults, names...); len(faults) > 0 {
		c := RunControl(seed, faults...)
		broken, trace = c.Breaches, c.Trace
	}
	if faultCount := len(selectNames(MachineFaults, names)) + len(selectNames(ClusterFaults, names)); faultCount > 0 || slices.Contains(names, Retirements) || slices.Contains(names, Evacuations) {
		d := RunDeployment(DeploymentOptions{Seed: seed, FaultNames: names, FaultTime: s.FaultTime})
		broken, trace = append(broken, d.Breaches()...), append(append(trace, "the deployment:"), d.Trace...)
	}
	return broken, trace
}

// selectFaults returns the selected faults in the order of their names; all if none are selected.
func selectFaults[F any](faults map[string]F, selected ...string) []F {
	out := []F{}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		if len(selected) == 0 || slices.Contains(selected, name) {
			out = append(out, faults[name])
		}
	}
	return out
}
