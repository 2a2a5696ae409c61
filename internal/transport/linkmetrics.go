package transport

import (
	"reflect"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// linkMessages and linkBytes count both ways of each link, so that what a link
// costs can be told from what the others cost; kindMessages and kindBytes count
// what is sent by the kind of message.
var (
	linkMessages = linkCounter("link_messages_total", "Messages by link and way.", "way")
	linkBytes    = linkCounter("link_bytes_total", "Bytes of frames by link and way.", "way")
	kindMessages = linkCounter("kind_messages_total", "Messages sent by link and kind of message.", "kind")
	kindBytes    = linkCounter("kind_bytes_total", "Bytes of messages sent by link and kind of message.", "kind")
)

// flow counts one way of one link.
type linkMetrics struct {
	link            string
	messages, bytes prometheus.Counter
	kinds           *sync.Map // reflect.Type -> tally
}

// kindMetrics counts one kind of message.
type kindMetrics struct{ messages, bytes prometheus.Counter }

func newLinkMetrics(link, way string) linkMetrics {
	return linkMetrics{link, linkMessages.WithLabelValues(link, way), linkBytes.WithLabelValues(link, way), &sync.Map{}}
}

// countSent notes one message sent.
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

func linkCounter(name, help, label string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "caperwheel", Subsystem: "transport", Name: name, Help: help}, []string{"link", label})
	prometheus.MustRegister(c)
	return c
}
