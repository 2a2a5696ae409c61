package weight

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulateFeed distributes a lane's messages over two pools by weight for some turns. Each pool runs at most its
// capacity per turn. It returns the messages still waiting at the end and the weights of pool a. With isControlled, the
// weights follow the observations with a delay of two turns.
func simulateFeed(turns int, isControlled bool, capacity func(turn int) (a, b float64)) (waiting float64, turned []float64) {
	weights, queued := map[string]float64{}, map[string]float64{}
	late := []map[string]Observation{}
	for turn := range turns {
		x, y := capacity(turn)
		sum := weightOf(weights, "a") + weightOf(weights, "b")
		seen := map[string]Observation{}
		for name, most := range map[string]float64{"a": x, "b": y} {
			queued[name] = math.Max(0, queued[name]+100*weightOf(weights, name)/sum-most)
			seen[name] = Observation{Micros: 1e6 / most}
		}
		late = append(late, seen)
		if isControlled && len(late) > 2 {
			weights = UpdateWeights(weights, late[len(late)-3])
		}
		turned = append(turned, weightOf(weights, "a"))
	}
	return queued["a"] + queued["b"], turned
}

// TestShares checks the weights of a lane's pools when one of them becomes slow.
func TestShares(t *testing.T) {
	slows := func(turn int) (float64, float64) {
		if turn >= 10 && turn < 40 {
			return 10, 95
		}
		return 95, 95
	}
	Convey("When one of two pools is slow for a while", t, func() {
		fixed, _ := simulateFeed(40, false, slows)
		led, turned := simulateFeed(40, true, slows)
		Convey("far fewer messages are left waiting than with fixed weights", func() {
			So(fixed, ShouldBeGreaterThan, 1000)
			So(led, ShouldBeLessThan, fixed/4)
		})
		Convey("its weight falls and recovers without oscillating", func() {
			_, turned = simulateFeed(120, true, slows)
			So(turned[39], ShouldBeLessThan, 0.2)
			So(turned[119], ShouldBeGreaterThan, 0.95)
			turns := 0
			for i := 2; i < len(turned); i++ {
				if (turned[i]-turned[i-1])*(turned[i-1]-turned[i-2]) < 0 {
					turns++
				}
			}
			So(turns, ShouldBeLessThanOrEqualTo, 1)
		})
	})
	Convey("A peer that does not answer loses weight down to the minimum, and is forgotten when it is gone", t, func() {
		p := &Peers{}
		for range 80 {
			p.Record("a", 1000, true)
			p.Record("b", 1000, false)
			p.Update(func(string) bool { return true })
		}
		So(p.Weight("a"), ShouldEqual, 1)
		So(p.Weight("b"), ShouldEqual, WeightFloor)
		p.Update(func(name string) bool { return name == "a" })
		So(p.All(), ShouldResemble, map[string]float64{"a": 1})
	})
}
