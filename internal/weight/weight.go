// Package weight holds the small controllers that decide how much of a pool's
// traffic each zone and each worker gets, from what adapters observe. It is
// pure.
package weight

import (
	"maps"
	"math"
	"slices"
)

// Observation is what the holder of a worker's duty has observed lately.
type Observation struct {
	Zone    string
	Micros  float64 // smoothed time of a run
	Failed  float64 // smoothed share of runs that failed, 0 to 1
	IsProbe bool    // unhealthy: only probes go there
}

// Weights of a pool, as published. A worker's draw is its own weight times its
// zone's.
type Weights struct {
	Zones   map[string]float64 `json:"cells"`
	Workers map[string]float64 `json:"workers"`
}

// Constants of the controllers. Invariants: a weight stays from Least to 1, so
// that every worker is tried now and then; one turn moves it by at most Step
// of its value (or Least, if that is more), so that two controllers or late observations cannot swing it.
const (
	WeightFloor     = 0.05
	StepLimit       = 0.25
	Damping         = 0.5  // share of the way to the target that one turn goes
	ChangeThreshold = 0.05 // smaller changes are not worth publishing
)

// NextWeights returns the weights after one turn of the controller.
func NextWeights(old Weights, seen map[string]Observation) Weights {
	out := Weights{Zones: map[string]float64{}, Workers: UpdateWeights(old.Workers, seen)}
	zones := map[string][]float64{}
	for _, s := range seen {
		zones[s.Zone] = append(zones[s.Zone], 1-s.Failed)
	}
	for zone, healthy := range zones {
		sum := 0.0
		for _, x := range healthy {
			sum += x
		}
		out.Zones[zone] = stepToward(weightOf(old.Zones, zone), max(WeightFloor, sum/float64(len(healthy))))
	}
	return out
}

// Turn is one turn of the controller that the workers of a pool, the pools of
// a lane and the stores that an adapter may choose among have alike.
func UpdateWeights(old map[string]float64, seen map[string]Observation) map[string]float64 {
	out, usual := map[string]float64{}, median(seen)
	for name, s := range seen {
		out[name] = stepToward(weightOf(old, name), target(s, usual))
	}
	return out
}

// target: a worker gets less the slower it is than usual and the more it fails.
func target(s Observation, usual float64) float64 {
	if s.IsProbe {
		return WeightFloor
	}
	share := 1.0
	if s.Micros > 0 && usual > 0 {
		share = min(1, usual/s.Micros)
	}
	return max(WeightFloor, share*(1-s.Failed))
}

func stepToward(from, to float64) float64 {
	step := (to - from) * Damping
	most := max(from*StepLimit, WeightFloor)
	step = math.Max(-most, math.Min(most, step))
	return math.Max(WeightFloor, math.Min(1, from+step))
}

func weightOf(m map[string]float64, name string) float64 {
	if w, isKnown := m[name]; isKnown {
		return w
	}
	return 1
}

func median(seen map[string]Observation) float64 {
	times := []float64{}
	for _, s := range seen {
		if s.Micros > 0 && !s.IsProbe {
			times = append(times, s.Micros)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2] // of two the quicker: the slower one is the odd one
}

// IsWorthPublishing reports whether the change is worth publishing.
func IsWorthPublishing(old, next Weights) bool {
	return HasChanged(old.Zones, next.Zones) || HasChanged(old.Workers, next.Workers)
}

// HasChanged reports whether any weight has changed enough to matter.
func HasChanged(old, next map[string]float64) bool {
	if !slices.Equal(slices.Sorted(maps.Keys(old)), slices.Sorted(maps.Keys(next))) {
		return true
	}
	for name, w := range next {
		if math.Abs(w-old[name]) > ChangeThreshold*max(old[name], WeightFloor) {
			return true
		}
	}
	return false
}

// Aggregate sums up what was observed of a pool's workers as if they were one.
func Aggregate(seen map[string]Observation) Observation {
	out, timed, probes := Observation{}, 0.0, 0
	for _, s := range seen {
		out.Failed += s.Failed / float64(len(seen))
		if s.Micros > 0 {
			out.Micros, timed = out.Micros+s.Micros, timed+1
		}
		if s.IsProbe {
			probes++
		}
	}
	out.Micros /= max(1, timed)
	out.IsProbe = len(seen) > 0 && probes == len(seen)
	return out
}
