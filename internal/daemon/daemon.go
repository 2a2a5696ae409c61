// Package daemon is what all of caperwheel's daemons have in common: settings,
// logs, metrics, health, the transport node and the session with a manager.
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

	_ "caperwheel/internal/earlysignal" // SIGHUP must not end a daemon that has just begun
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// memoryLimitPercent is how much of its memory, in hundredths, the process lets its
// heap fill before it collects garbage all the time; the rest is for the system.
const memoryLimitPercent = 70

// gcPercent is by how many hundredths the heap grows from one collection to the
// next where a limit is known: heaps of a few megabytes are otherwise collected
// many times a second.
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
	Ready         func() (isReady bool, why string) // asked through IsReady
	Clock         func() time.Duration              // in place of the monotonic clock, if given
	OnRefused     func(addr string)                 // told when nobody listens where a peer was, if given before Link
	StopsLast     bool                              // others need it until they have stopped; set before Serve
	CanReadConfig func() bool                       // whether the newest configuration can be read, if the daemon needs it

	// The further listeners, nil where the settings name none, and what they serve.
	Front, Probe, Operators          net.Listener
	FrontMux, ProbeMux, OperatorsMux *http.ServeMux

	crashes   crashReporting
	collector metricsCollector
	Started   time.Time
	listener  net.Listener
	current   atomic.Pointer[settings.Settings] // the newest; Settings are those of the start
	isLeaving atomic.Bool                       // never false again
}

// New reads the settings, from the source if there is one, and opens the HTTP
// ports. An error ends the process with exit code 2 (settings) or 1.
func New(kind string, source *settings.Source) *Daemon {
	signal.Ignore(syscall.SIGPIPE) // a closed socket is an error like others
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
		debug.SetGCPercent(gcPercent) // the limit keeps the heap in bounds
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

// CurrentSettings gives the settings with what has changed since the start; where nobody
// watches them, as in a daemon that New did not make, those of the start.
func (d *Daemon) CurrentSettings() settings.Settings {
	if s := d.current.Load(); s != nil {
		return *s
	}
	return d.Settings
}

func (d *Daemon) seeds() []string { return d.CurrentSettings().Seeds }

func (d *Daemon) setVerbosity(flags *flag.FlagSet, v int) {
	if err := flags.Set("v", strconv.Itoa(v)); err != nil {
		klog.Warningf("%s: The verbosity cannot be set: %v.", d.Kind, err)
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// RandomId gives an identifier of so many bytes.
func RandomId(size int) string {
	raw := make([]byte, size)
	if _, err := rand.Read(raw); err != nil {
		panic(errs.Wrap(err, errs.Internal, "random"))
	}
	return hex.EncodeToString(raw)
}

// Now is the daemon's monotonic clock.
func (d *Daemon) Now() time.Duration {
	if d.Clock != nil {
		return d.Clock()
	}
	return time.Since(d.Started)
}

// IsFresh reports whether the daemon may act on its view.
func (d *Daemon) IsFresh() bool {
	return d.View.IsFresh(d.Now(), d.Bounds.Of(timing.ViewAgeLimit)) && (d.CanReadConfig == nil || d.CanReadConfig())
}

// Must ends the process on an error.
func (d *Daemon) Must(err error) {
	if err != nil {
		klog.Errorf("%s: Stopping: %v.", d.Kind, err)
		klog.Flush()
		os.Exit(1)
	}
}

// OpenTransport opens the transport node.
func (d *Daemon) OpenTransport(handlers map[string]transport.Handler) {
	s := d.Settings
	node, err := transport.NewNode(transport.Options{Self: d.Who, Listen: s.Listen, Batch: s.Batch, Pool: s.TransportWorkers,
		Flush: s.Flush.Duration, Window: s.Window, Bounds: d.Bounds, Handlers: handlers, Shape: s.Shape(), OnRefused: d.OnRefused})
	d.Must(err)
	d.Node = node
	go node.Serve()
}

// NewSessionClient makes the daemon's session; say tells what it says of itself.
func (d *Daemon) NewSessionClient(newPoll func() wire.Poll) *session.Client {
	return &session.Client{Node: d.Node, Bounds: d.Bounds, Seeds: d.seeds, View: d.View, Membership: d.Membership,
		Now: d.Now, Self: newPoll}
}

// NewPoll is what every daemon says of itself.
func (d *Daemon) NewPoll() wire.Poll {
	return wire.Poll{Who: d.Who, Revisions: []wire.PartRevision{}, Owns: []wire.Owned{}, Colocated: []wire.Member{},
		Fact: wire.Fact{Revision: d.View.Revision(feed.ConfigPart), Fresh: d.IsFresh(), Counts: map[string]int64{}}}
}
