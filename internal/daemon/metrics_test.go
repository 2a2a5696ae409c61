package daemon

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"
)

// TestCountersAreCounters checks that metrics with the suffix of counters are exported as counters, others
// as gauges.
func TestCountersAreCounters(t *testing.T) {
	Convey("Given a counter and a gauge", t, func() {
		registry, d := prometheus.NewRegistry(), &Daemon{}
		d.AddMetrics(func(emit Emit) {
			emit("asks_total", "Asks.", 3, "kind", "a")
			emit("asks", "Asks under way.", 2)
		})
		So(registry.Register(&d.collector), ShouldBeNil)
		families, err := registry.Gather()
		So(err, ShouldBeNil)
		kinds := map[string]string{}
		for _, f := range families {
			kinds[f.GetName()] = f.GetType().String()
		}
		So(kinds, ShouldResemble, map[string]string{"caperwheel_asks_total": "COUNTER", "caperwheel_asks": "GAUGE"})
	})
}
