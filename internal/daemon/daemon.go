// Package daemon holds what all of caperwheel's daemons have in common: settings, logs, metrics, health
// checks, HTTP listeners, the transport node, the session with a manager, and the shutdown. The main
// packages of the daemons call New and Serve; the packages of the daemons use the Daemon in between.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	_ "caperwheel/internal/earlysignal" // SIGHUP must not end a daemon that has just started
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// memoryLimitPercent is the share of the process's memory that the Go runtime may use before it collects
// garbage continuously; the rest is for the system.
const memoryLimitPercent = 70

// gcPercent is by how many percent the heap grows between two collections if a memory limit is set: with
// the default, heaps of a few megabytes are collected many times a second.
const gcPercent = 150

// Daemon is one running process.
type Daemon struct {
	Kind          string
	Settings      settings.Settings
	Bounds        timing.Bounds
	Who           wire.Who
	View          *feed.View
	Membership    *session.Membership
	Node          *transport.Node
	Mux           *http.ServeMux
	Ready         func() (isReady bool, why string) // called through IsReady
	Clock         func() time.Duration              // replaces the monotonic clock if set
	OnRefused     func(addr string)                 // called when an address refuses connections; set before OpenTransport
	StopsLast     bool                              // other daemons need this one until they have stopped; set before Serve
	CanReadConfig func() bool                       // whether the newest configuration can be read; nil if not needed

	// Further listeners, nil if the settings name none, and the handlers that they serve.
	Front, Probe, Operators          net.Listener
	FrontMux, ProbeMux, OperatorsMux *http.ServeMux

	crashes   crashReporting
	collector metricsCollector
	Started   time.Time
	listener  net.Listener
	current   atomic.Pointer[settings.Settings] // the newest settings; Settings are those of the start
	isLeaving atomic.Bool                       // never reset
}

// New reads the settings, from source if there is one, and opens the HTTP ports. On an error it ends the
// process with exit code 2 (settings) or 1.
func New(kind string, source *settings.Source) *Daemon {
	signal.Ignore(syscall.SIGPIPE) // a closed socket is an ordinary write error
	s, err := settings.Load(kind, os.Args[1:], source)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &Daemon{Kind: kind, Settings: s, Bounds: s.Bounds(), Started: time.Now(), Mux: http.NewServeMux(),
		FrontMux: http.NewServeMux(), ProbeMux: http.NewServeMux(), OperatorsMux: http.NewServeMux(),
		View: feed.NewView(s.Parts), Membership: session.NewMembership()}
	prometheus.MustRegister(&d.collector)
	d.AddMetrics(d.collectViewMetrics)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	d.setVerbosity(flags, s.Verbosity)
	d.current.Store(&s)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit * memoryLimitPercent / 100)
		debug.SetGCPercent(gcPercent) // the memory limit bounds the heap
	}
	d.listener, d.Front, d.Probe, d.Operators = d.listen(s.Http), d.listen(s.Front), d.listen(s.Probe), d.listen(s.Operators)
	d.Who = wire.Who{Name: s.Name, Kind: kind, Boot: RandomId(8), Zone: s.Zone, Addr: s.Advertise, Http: d.listener.Addr().String()}
	d.crashes.start(d)
	isWatching := make(chan struct{})
	go settings.Watch(context.Background(), kind, s, func(next settings.Settings) {
		d.setVerbosity(flags, next.Verbosity)
		d.current.Store(&next)
	}, func() { close(isWatching) })
	<-isWatching
	return d
}

// CurrentSettings returns the settings with the changes since the start; in a daemon that was not made by
// New, which has no watcher, those of the start.
func (d *Daemon) CurrentSettings() settings.Settings {
	if s := d.current.Load(); s != nil {
		return *s
	}
	return d.Settings
}

// seeds returns the managers' addresses of the current settings.
func (d *Daemon) seeds() []string { return d.CurrentSettings().Seeds }

// setVerbosity sets the verbosity of the log.
func (d *Daemon) setVerbosity(flags *flag.FlagSet, v int) {
	if err := flags.Set("v", strconv.Itoa(v)); err != nil {
		klog.Warningf("%s: Cannot set the log verbosity: %v.", d.Kind, err)
	}
}

// formatInt formats an integer as a label value.
func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// RandomId returns a random identifier of size bytes in hex.
func RandomId(size int) string {
	raw := make([]byte, size)
	if _, err := rand.Read(raw); err != nil {
		panic(errs.Wrap(err, errs.Internal, "read random bytes for an identifier"))
	}
	return hex.EncodeToString(raw)
}

// Now returns the time of the daemon's monotonic clock.
func (d *Daemon) Now() time.Duration {
	if d.Clock != nil {
		return d.Clock()
	}
	return time.Since(d.Started)
}

// IsFresh reports whether the view is recent enough for the daemon to act on it.
func (d *Daemon) IsFresh() bool {
	return d.View.IsFresh(d.Now(), d.Bounds.Of(timing.ViewAgeLimit)) && (d.CanReadConfig == nil || d.CanReadConfig())
}

// Must ends the process with exit code 1 on an error.
func (d *Daemon) Must(err error) {
	if err != nil {
		klog.Errorf("%s: Stopping: %v.", d.Kind, err)
		klog.Flush()
		os.Exit(1)
	}
}

// OpenTransport opens the transport node with a handler for each link and starts serving it.
func (d *Daemon) OpenTransport(handlers map[string]transport.Handler) {
	s := d.Settings
	node, err := transport.NewNode(transport.Options{Self: d.Who, Listen: s.Listen, Batch: s.Batch, Pool: s.TransportWorkers,
		Flush: s.Flush.Duration, Window: s.Window, Bounds: d.Bounds, Handlers: handlers, Shape: s.Shape(), OnRefused: d.OnRefused})
	d.Must(err)
	d.Node = node
	go node.Serve()
}

// NewSessionClient returns the client that keeps the daemon's session; newPoll returns what the daemon
// reports about itself.
func (d *Daemon) NewSessionClient(newPoll func() wire.Poll) *session.Client {
	return &session.Client{Node: d.Node, Bounds: d.Bounds, Seeds: d.seeds, View: d.View, Membership: d.Membership,
		Now: d.Now, Self: newPoll}
}

// NewPoll returns what every daemon reports about itself.
func (d *Daemon) NewPoll() wire.Poll {
	return wire.Poll{Who: d.Who, Revisions: []wire.PartRevision{}, Owns: []wire.Owned{}, Colocated: []wire.Member{},
		Fact: wire.Fact{Revision: d.View.Revision(feed.ConfigPart), Fresh: d.IsFresh(), Counts: map[string]int64{}}}
}
