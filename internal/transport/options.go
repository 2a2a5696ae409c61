package transport

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

const (
	keepAliveRatio         = timing.KeepAlive
	connectionTimeoutRatio = timing.ConnectionTimeout
)

// Options set up a node. The zero value of each number means its default.
type Options struct {
	Self       wire.Who
	Listen     string        // address to listen on; empty for none
	Batch      int           // messages per buffer; the thesis found 40 best
	Pool       int           // pool workers; the thesis found 40 best
	Flush      time.Duration // a partial buffer waits this long at most; ours
	Window     int           // unconsumed messages per direction of a session
	FrameLimit int           // bytes of one frame
	Oldest     int64         // oldest and newest wire version to speak
	Newest     int64
	Bounds     timing.Bounds
	Handlers   map[string]Handler // by link name
	Shape      string             // what both ends of a session must agree on
	OnRefused  func(addr string)  // told when nobody listens where a peer was, if given
}

// Handler takes one message of a link. It must not block for long: what waits
// must wait elsewhere, in something bounded. answer may be called later, once.
type Handler func(from wire.Who, body any, answer func(any))

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

func counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "caperwheel", Subsystem: "transport", Name: name, Help: help})
	prometheus.MustRegister(c)
	return c
}
