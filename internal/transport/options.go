package transport

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Ratios of the timing bounds: the keep-alive interval, and the silence after which a connection counts as
// lost.
const (
	keepAliveRatio         = timing.KeepAlive
	connectionTimeoutRatio = timing.ConnectionTimeout
)

// Options configure a node. A zero number means its default.
type Options struct {
	Self       wire.Who
	Listen     string        // address to listen on; empty for none
	Batch      int           // messages per batch; the thesis measured 40 as best
	Pool       int           // pool workers; the thesis measured 40 as best
	Flush      time.Duration // longest wait of a partial batch; not from the thesis
	Window     int           // unconsumed messages per direction of a session
	FrameLimit int           // maximum bytes of a frame
	Oldest     int64         // oldest and newest supported wire version
	Newest     int64
	Bounds     timing.Bounds
	Handlers   map[string]Handler // by link name
	Shape      string             // deployment parameters that both ends of a session must share
	OnRefused  func(addr string)  // called when a peer's address refuses connections; may be nil
}

// Handler processes one message of a link. It must not block for long: work that waits belongs in a
// bounded queue elsewhere. answer may be called later, at most once.
type Handler func(from wire.Who, body any, answer func(any))

// withDefaults replaces zero values by the defaults.
func (o Options) withDefaults() Options {
	setDefault := func(value *int, defaultValue int) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&o.Batch, 40)
	setDefault(&o.Pool, 40)
	setDefault(&o.Window, 4096)
	setDefault(&o.FrameLimit, 64<<20)
	if o.Flush == 0 {
		o.Flush = 500 * time.Microsecond
	}
	if o.Bounds.ConfigApply == 0 {
		o.Bounds = timing.Default
	}
	if o.Newest == 0 {
		o.Newest, o.Oldest = wire.Version, wire.OldestVersion
	}
	return o
}

// counters count the traffic of all sessions of the process.
var counters = struct {
	batches, messages, bytes, full, sessions, lost prometheus.Counter
}{
	batches:  counter("batches_total", "Batches cut."),
	messages: counter("messages_total", "Messages sent between daemons."),
	bytes:    counter("bytes_total", "Bytes written to daemons."),
	full:     counter("full_total", "Messages refused because a window was full."),
	sessions: counter("sessions_total", "Transport sessions opened."),
	lost:     counter("sessions_lost_total", "Transport sessions that broke."),
}

// counter registers a counter of this package.
func counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "caperwheel", Subsystem: "transport", Name: name, Help: help})
	prometheus.MustRegister(c)
	return c
}
