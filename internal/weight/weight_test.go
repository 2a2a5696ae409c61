package weight

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func even(count int) map[string]Seen {
	out := map[string]Seen{}
	for i := range count {
		out[string(rune('a'+i))] = Seen{Zone: "x", Micros: 1000}
	}
	return out
}

func settle(seen map[string]Seen, turns int) (w Weights) {
	for range turns {
		w = Next(w, seen)
	}
	return w
}

// TestWeights is the table of where the weights come to rest.
func TestWeights(t *testing.T) {
	cases := []struct {
		name string
		odd  Seen
		low  float64
		high float64
	}{
		{"like the others keeps its full weight", Seen{Micros: 1000}, 1, 1},
		{"that is quicker gets no more than that", Seen{Micros: 10}, 1, 1},
		{"ten times as slow gets a tenth", Seen{Micros: 10000}, 0.09, 0.12},
		{"that fails half its runs gets half", Seen{Micros: 1000, Failed: 0.5}, 0.49, 0.52},
		{"that fails always is still tried", Seen{Micros: 1000, Failed: 1}, Least, Least},
		{"that is probed is still tried", Seen{IsProbe: true}, Least, Least},
		{"not seen to run yet keeps its full weight", Seen{}, 1, 1},
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
		Convey("never moves by more than a step in one turn, and comes back", func() {
			seen := even(4)
			seen["odd"] = Seen{Zone: "x", Failed: 1}
			w, last := Weights{}, 1.0
			for range 20 {
				w = Next(w, seen)
				So(last-w.Workers["odd"], ShouldBeLessThan, max(last*Step, Least)+1e-9)
				last = w.Workers["odd"]
			}
			seen["odd"] = Seen{Zone: "x", Micros: 1000}
			for range 60 {
				w = Next(w, seen)
			}
			So(w.Workers["odd"], ShouldBeGreaterThan, 0.95)
		})
		Convey("does not drag down its cell alone, but a failing cell goes down", func() {
			seen := even(4)
			for _, name := range []string{"p", "q", "r"} {
				seen[name] = Seen{Zone: "y", Failed: 1}
			}
			w := settle(seen, 60)
			So(w.Zones["x"], ShouldEqual, 1)
			So(w.Zones["y"], ShouldAlmostEqual, Least, 1e-6)
		})
		Convey("publishes only what matters", func() {
			w := settle(even(3), 1)
			So(IsNews(Weights{}, w), ShouldBeTrue)
			So(IsNews(w, Next(w, even(3))), ShouldBeFalse)
		})
	})
}
