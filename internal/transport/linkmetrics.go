package transport

import (
	"reflect"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// linkMessages and linkBytes count both directions of each link, so that the cost of each link is known;
// kindMessages and kindBytes count what is sent by message type.
var (
	linkMessages = linkCounter("link_messages_total", "Messages by link and way.", "way")
	linkBytes    = linkCounter("link_bytes_total", "Bytes of frames by link and way.", "way")
	kindMessages = linkCounter("kind_messages_total", "Messages sent by link and kind of message.", "kind")
	kindBytes    = linkCounter("kind_bytes_total", "Bytes of messages sent by link and kind of message.", "kind")
)

// linkMetrics are the counters of one direction of one link.
type linkMetrics struct {
	link            string
	messages, bytes prometheus.Counter
	kinds           *sync.Map // reflect.Type -> kindMetrics
}

// kindMetrics are the counters of one message type.
type kindMetrics struct{ messages, bytes prometheus.Counter }

// newLinkMetrics returns the counters of a link's direction, "in" or "out".
func newLinkMetrics(link, way string) linkMetrics {
	return linkMetrics{link, linkMessages.WithLabelValues(link, way), linkBytes.WithLabelValues(link, way), &sync.Map{}}
}

// countSent counts one sent message and its encoded bytes.
func (f *linkMetrics) countSent(body any, bytes int) {
	kind := reflect.TypeOf(body)
	known, isKnown := f.kinds.Load(kind)
	if !isKnown {
		name := kind.Elem().Name()
		known, _ = f.kinds.LoadOrStore(kind, kindMetrics{kindMessages.WithLabelValues(f.link, name), kindBytes.WithLabelValues(f.link, name)})
	}
	t := known.(kindMetrics)
	t.messages.Inc()
	t.bytes.Add(float64(bytes))
}

// linkCounter registers a counter with a label for the link and one more label.
func linkCounter(name, help, label string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "caperwheel", Subsystem: "transport", Name: name, Help: help}, []string{"link", label})
	prometheus.MustRegister(c)
	return c
}
