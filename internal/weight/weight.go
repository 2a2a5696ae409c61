// Package weight is the small controllers that decide how much of a pool's
// traffic each cell and each worker gets, from what adapters observe. It is
// pure.
package weight

import (
	"maps"
	"math"
	"slices"
)

// Seen is what the holder of a worker's duty has observed lately.
type Seen struct {
	Cell    string
	Micros  float64 // smoothed time of a run
	Failed  float64 // smoothed share of runs that failed, 0 to 1
	IsProbe bool    // unsound: only probes go there
}

// Weights of a pool, as published. A worker's draw is its own weight times its
// cell's.
type Weights struct {
	Cells   map[string]float64 `json:"cells"`
	Workers map[string]float64 `json:"workers"`
}

// Constants of the controllers. Invariants: a weight stays from Least to 1, so
// that every worker is tried now and then; one turn moves it by at most Step
// of its value (or Least, if that is more), so that two controllers or late observations cannot swing it.
const (
	Least  = 0.05
	Step   = 0.25
	Damp   = 0.5  // share of the way to the target that one turn goes
	Notice = 0.05 // smaller changes are not worth publishing
)

// Next gives the weights after one turn.
func Next(old Weights, seen map[string]Seen) Weights {
	out := Weights{Cells: map[string]float64{}, Workers: map[string]float64{}}
	usual := median(seen)
	cells := map[string][]float64{}
	for name, s := range seen {
		out.Workers[name] = move(get(old.Workers, name), target(s, usual))
		cells[s.Cell] = append(cells[s.Cell], 1-s.Failed)
	}
	for cell, sound := range cells {
		sum := 0.0
		for _, x := range sound {
			sum += x
		}
		out.Cells[cell] = move(get(old.Cells, cell), max(Least, sum/float64(len(sound))))
	}
	return out
}

// target: a worker gets less the slower it is than usual and the more it fails.
func target(s Seen, usual float64) float64 {
	if s.IsProbe {
		return Least
	}
	share := 1.0
	if s.Micros > 0 && usual > 0 {
		share = min(1, usual/s.Micros)
	}
	return max(Least, share*(1-s.Failed))
}

func move(from, to float64) float64 {
	step := (to - from) * Damp
	most := max(from*Step, Least)
	step = math.Max(-most, math.Min(most, step))
	return math.Max(Least, math.Min(1, from+step))
}

func get(m map[string]float64, name string) float64 {
	if w, isKnown := m[name]; isKnown {
		return w
	}
	return 1
}

func median(seen map[string]Seen) float64 {
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
	return times[len(times)/2]
}

// IsNews tells whether the change is worth publishing.
func IsNews(old, next Weights) bool {
	differs := func(a, b map[string]float64) bool {
		if !slices.Equal(slices.Sorted(maps.Keys(a)), slices.Sorted(maps.Keys(b))) {
			return true
		}
		for name, w := range b {
			if math.Abs(w-a[name]) > Notice*max(a[name], Least) {
				return true
			}
		}
		return false
	}
	return differs(old.Cells, next.Cells) || differs(old.Workers, next.Workers)
}
