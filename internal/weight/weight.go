// Package weight has the controllers that set how much of a pool's traffic each zone and each worker gets, from the
// latency and failures that adapters observe. It holds no state but Peers, and does no I/O. Managers compute the
// published weights with it; adapters weigh the stores, and stores draw workers by the published weights.
package weight

import (
	"maps"
	"math"
	"slices"
)

// Observation is what was observed of a worker, pool or peer lately.
type Observation struct {
	Zone    string
	Micros  float64 // smoothed microseconds of a run
	Failed  float64 // smoothed share of failed runs, 0 to 1
	IsProbe bool    // unhealthy: it gets only probes
}

// Weights are the published weights of a pool. A worker is drawn by its own weight times that of its zone.
type Weights struct {
	Zones   map[string]float64 `json:"cells"`
	Workers map[string]float64 `json:"workers"`
}

// Parameters of the controllers. Invariants: a weight stays between WeightFloor and 1, so that every worker is tried
// now and then; one step moves it by at most StepLimit of its value, or WeightFloor if that is more, so that two
// controllers or late observations do not make it oscillate.
const (
	WeightFloor     = 0.05
	StepLimit       = 0.25
	Damping         = 0.5  // share of the distance to the target that one step covers
	ChangeThreshold = 0.05 // relative; smaller changes are not published
)

// NextWeights returns the weights after one step of the controller.
func NextWeights(old Weights, observations map[string]Observation) Weights {
	out := Weights{Zones: map[string]float64{}, Workers: UpdateWeights(old.Workers, observations)}
	zones := map[string][]float64{}
	for _, s := range observations {
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

// UpdateWeights is one step of the controller. It is the same for the workers of a pool, the pools of a lane and the
// stores that an adapter may choose among.
func UpdateWeights(old map[string]float64, observations map[string]Observation) map[string]float64 {
	out, medianMicros := map[string]float64{}, median(observations)
	for name, s := range observations {
		out[name] = stepToward(weightOf(old, name), target(s, medianMicros))
	}
	return out
}

// target returns the weight to approach: lower the slower a worker is than the median and the more it fails.
func target(s Observation, medianMicros float64) float64 {
	if s.IsProbe {
		return WeightFloor
	}
	share := 1.0
	if s.Micros > 0 && medianMicros > 0 {
		share = min(1, medianMicros/s.Micros)
	}
	return max(WeightFloor, share*(1-s.Failed))
}

// stepToward moves a weight one step towards its target.
func stepToward(from, to float64) float64 {
	step := (to - from) * Damping
	limit := max(from*StepLimit, WeightFloor)
	step = math.Max(-limit, math.Min(limit, step))
	return math.Max(WeightFloor, math.Min(1, from+step))
}

// weightOf returns a weight by name; unknown names have full weight.
func weightOf(m map[string]float64, name string) float64 {
	if w, isKnown := m[name]; isKnown {
		return w
	}
	return 1
}

// median returns the median time of a run over the workers that get more than probes; 0 if there are none.
func median(observations map[string]Observation) float64 {
	times := []float64{}
	for _, s := range observations {
		if s.Micros > 0 && !s.IsProbe {
			times = append(times, s.Micros)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2] // of two, the faster one: the slower is the outlier
}

// IsWorthPublishing reports whether any weight of a pool has changed enough to be published.
func IsWorthPublishing(old, next Weights) bool {
	return HasChanged(old.Zones, next.Zones) || HasChanged(old.Workers, next.Workers)
}

// HasChanged reports whether any weight has changed by more than ChangeThreshold, or the set of names has changed.
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

// Aggregate combines the observations of a pool's workers into one.
func Aggregate(observations map[string]Observation) Observation {
	out, timed, probes := Observation{}, 0.0, 0
	for _, s := range observations {
		out.Failed += s.Failed / float64(len(observations))
		if s.Micros > 0 {
			out.Micros, timed = out.Micros+s.Micros, timed+1
		}
		if s.IsProbe {
			probes++
		}
	}
	out.Micros /= max(1, timed)
	out.IsProbe = len(observations) > 0 && probes == len(observations)
	return out
}
