package sim

import (
	"maps"
	"slices"
)

// SweepKinds lists what can be swept.
func SweepKinds() []string { return []string{"group", "moves", "place", "control"} }

// SweepSeed runs one seed and tells what was broken. All faults are mixed,
// or only those named.
func SweepSeed(kind string, seed uint64, only []string) (broken, trace []string) {
	switch kind {
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
	case "control":
		c := RunControl(seed, mixed(ControlFaults, only...)...)
		return c.Broken, c.Trace
	}
	return []string{"no such kind"}, nil
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
