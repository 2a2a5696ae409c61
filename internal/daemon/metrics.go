package daemon

import (
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Emit passes one metric to the collector. Labels are pairs of name and value. A metric whose name ends in
// counterSuffix is a counter, any other a gauge.
type Emit func(name, help string, value float64, labels ...string)

// counterSuffix ends the names of counters, by Prometheus convention.
const counterSuffix = "_total"

// metricsCollector reads its sources whenever the metrics are collected, so that nothing needs to be
// updated between two collections.
type metricsCollector struct {
	mu      sync.Mutex
	sources []func(Emit)
}

// AddMetrics adds a source that is called on each collection of the metrics.
func (d *Daemon) AddMetrics(source func(Emit)) {
	d.collector.mu.Lock()
	defer d.collector.mu.Unlock()
	d.collector.sources = append(d.collector.sources, source)
}

// Describe implements prometheus.Collector. It sends nothing, since lanes and pools depend on the
// configuration.
func (g *metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (g *metricsCollector) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, source := range g.sources {
		source(func(name, help string, value float64, labels ...string) {
			names, values := []string{}, []string{}
			for i := 0; i+1 < len(labels); i += 2 {
				names, values = append(names, labels[i]), append(values, labels[i+1])
			}
			desc := prometheus.NewDesc("caperwheel_"+name, help, names, nil)
			kind := prometheus.GaugeValue
			if strings.HasSuffix(name, counterSuffix) {
				kind = prometheus.CounterValue
			}
			out <- prometheus.MustNewConstMetric(desc, kind, value, values...)
		})
	}
}

// collectViewMetrics emits the state of the daemon's view and membership.
func (d *Daemon) collectViewMetrics(emit Emit) {
	isFresh := 0.0
	if d.IsFresh() {
		isFresh = 1
	}
	emit("view_fresh", "1 while the daemon may act on its view.", isFresh)
	if age, isSure := d.View.Age(d.Now()); isSure {
		emit("view_age_seconds", "How long ago the oldest part of the view was confirmed.", age.Seconds())
	}
	for _, s := range d.View.Revisions() {
		emit("view_stamp", "How far the view has come, by part; part 0 has the configuration.", float64(s.Revision), "part", formatInt(s.Part))
	}
	keys, bytes := d.View.Size()
	emit("view_keys", "Keys of the view.", float64(keys))
	emit("view_bytes", "Bytes of the view's keys and values.", float64(bytes))
	for _, kind := range []string{"manager", "store", "agent", "adapter"} {
		emit("members", "Daemons whose session stands, as this one knows.", float64(len(d.Membership.OfKind(kind))), "kind", kind)
	}
}
