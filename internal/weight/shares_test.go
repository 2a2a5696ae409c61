package weight

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulateFeed distributes a lane's messages over two pools by weight for some turns. Each pool runs at most its
// capacity per turn. It returns the messages still waiting at the end and the weights of pool a. With isControlled, the
// weights follow the observations with a delay of two turns.
func simulateFeed(turns int, isControlled bool, capacity func(turn int) (a, b float64)) (waiting float64, weightsOfA []float64) {
	weights, queued := map[string]float64{}, map[string]float64{}
	delayed := []map[string]Observation{}
	for turn := range turns {
		x, y := capacity(turn)
		sum := weightOf(weights, "a") + weightOf(weights, "b")
		seen := map[string]Observation{}
		for name, perTurn := range map[string]float64{"a": x, "b": y} {
			queued[name] = math.Max(0, queued[name]+100*weightOf(weights, name)/sum-perTurn)
			seen[name] = Observation{Micros: 1e6 / perTurn}
		}
		delayed = append(delayed, seen)
		if isControlled && len(delayed) > 2 {
			weights = UpdateWeights(weights, delayed[len(delayed)-3])
		}
		weightsOfA = append(weightsOfA, weightOf(weights, "a"))
	}
	return queued["a"] + queued["b"], weightsOfA
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
		controlled, weightsOfA := simulateFeed(40, true, slows)
		Convey("far fewer messages are left waiting than with fixed weights", func() {
			So(fixed, ShouldBeGreaterThan, 1000)
			So(controlled, ShouldBeLessThan, fixed/4)
		})
		Convey("its weight falls and recovers without oscillating", func() {
			_, weightsOfA = simulateFeed(120, true, slows)
			So(weightsOfA[39], ShouldBeLessThan, 0.2)
			So(weightsOfA[119], ShouldBeGreaterThan, 0.95)
			turns := 0
			for i := 2; i < len(weightsOfA); i++ {
				if (weightsOfA[i]-weightsOfA[i-1])*(weightsOfA[i-1]-weightsOfA[i-2]) < 0 {
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
