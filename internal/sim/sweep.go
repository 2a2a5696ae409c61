package sim

import (
	"maps"
	"slices"
)

// SweepKinds lists what can be swept.
func SweepKinds() []string { return []string{"group", "place", "control"} }

// SweepSeed runs one seed with all faults mixed, and tells what was broken.
func SweepSeed(kind string, seed uint64) (broken, trace []string) {
	switch kind {
	case "group":
		g := RunGroup(seed, mixed(GroupFaults)...)
		return g.Broken, g.Trace
	case "place":
		p, breaches := RunPlaces(seed, mixed(PlaceFaults)...)
		for _, b := range breaches {
			broken = append(broken, b.Rule+": "+b.Text)
		}
		return broken, p.Trace
	case "control":
		c := RunControl(seed, mixed(ControlFaults)...)
		return c.Broken, c.Trace
	}
	return []string{"no such kind"}, nil
}

func mixed[F any](faults map[string]F) []F {
	out := []F{}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		out = append(out, faults[name])
	}
	return out
}
