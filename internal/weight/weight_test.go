package weight

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// even returns observations of equally fast workers in one zone.
func even(count int) map[string]Observation {
	out := map[string]Observation{}
	for i := range count {
		out[string(rune('a'+i))] = Observation{Zone: "x", Micros: 1000}
	}
	return out
}

// settle returns the weights after the given number of steps.
func settle(seen map[string]Observation, turns int) (w Weights) {
	for range turns {
		w = NextWeights(w, seen)
	}
	return w
}

// TestWeights checks to which values the weights converge.
func TestWeights(t *testing.T) {
	cases := []struct {
		name string
		odd  Observation
		low  float64
		high float64
	}{
		{"like the others keeps its full weight", Observation{Micros: 1000}, 1, 1},
		{"that is faster gets no more than that", Observation{Micros: 10}, 1, 1},
		{"ten times as slow gets a tenth", Observation{Micros: 10000}, 0.09, 0.12},
		{"that fails half its runs gets half", Observation{Micros: 1000, Failed: 0.5}, 0.49, 0.52},
		{"that fails always is still tried", Observation{Micros: 1000, Failed: 1}, WeightFloor, WeightFloor},
		{"that is probed is still tried", Observation{IsProbe: true}, WeightFloor, WeightFloor},
		{"without an observed run keeps its full weight", Observation{}, 1, 1},
	}
	Convey("A worker among four others", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				seen := even(4)
				c.odd.Zone = "x"
				seen["odd"] = c.odd
				w := settle(seen, 60)
				So(w.Workers["odd"], ShouldBeBetween, c.low-1e-6, c.high+1e-6)
				So(w.Workers["a"], ShouldEqual, 1)
			})
		}
		Convey("never moves by more than one step per turn, and recovers", func() {
			seen := even(4)
			seen["odd"] = Observation{Zone: "x", Failed: 1}
			w, last := Weights{}, 1.0
			for range 20 {
				w = NextWeights(w, seen)
				So(last-w.Workers["odd"], ShouldBeLessThan, max(last*StepLimit, WeightFloor)+1e-9)
				last = w.Workers["odd"]
			}
			seen["odd"] = Observation{Zone: "x", Micros: 1000}
			for range 60 {
				w = NextWeights(w, seen)
			}
			So(w.Workers["odd"], ShouldBeGreaterThan, 0.95)
		})
		Convey("does not lower the weight of its zone by itself, but a failing zone's weight falls", func() {
			seen := even(4)
			for _, name := range []string{"p", "q", "r"} {
				seen[name] = Observation{Zone: "y", Failed: 1}
			}
			w := settle(seen, 60)
			So(w.Zones["x"], ShouldEqual, 1)
			So(w.Zones["y"], ShouldAlmostEqual, WeightFloor, 1e-6)
		})
		Convey("publishes only significant changes", func() {
			w := settle(even(3), 1)
			So(IsWorthPublishing(Weights{}, w), ShouldBeTrue)
			So(IsWorthPublishing(w, NextWeights(w, even(3))), ShouldBeFalse)
		})
	})
}
