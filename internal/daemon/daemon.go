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

	_ "caperwheel/internal/early" // SIGHUP must not end a daemon that has just begun
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// memoryShare is how much of its memory, in hundredths, the process lets its
// heap fill before it collects garbage all the time; the rest is for the system.
const memoryShare = 70

// growth is by how many hundredths the heap grows from one collection to the
// next where a limit is known: heaps of a few megabytes are otherwise collected
// many times a second.
const growth = 150

// Daemon is one running process.
type Daemon struct {
	Kind       string
	Settings   settings.Settings
	Bounds     timing.Bounds
	Who        wire.Who
	View       *feed.View
	Membership *session.Membership
	Node       *transport.Node
	Mux        *http.ServeMux
	Ready      func() (isReady bool, why string) // asked through IsReady
	Clock      func() time.Duration              // in place of the monotonic clock, if given
	Refused    func(addr string)                 // told when nobody listens where a peer was, if given before Link
	Outlasts   bool                              // others need it until they have stopped; set before Serve
	CanRead    func() bool                       // whether the newest configuration can be read, if the daemon needs it

	// The further listeners, nil where the settings name none, and what they serve.
	Front, Probe, Operators          net.Listener
	FrontMux, ProbeMux, OperatorsMux *http.ServeMux

	crashes  crashes
	gauges   gauges
	Started  time.Time
	listener net.Listener
	live     atomic.Pointer[settings.Settings] // the newest; Settings are those of the start
	leaving  atomic.Bool                       // never false again
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
	prometheus.MustRegister(&d.gauges)
	d.Measure(d.measureView)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	d.verbosity(flags, s.Verbosity)
	d.live.Store(&s)
	if s.Memory > 0 {
		debug.SetMemoryLimit(s.Memory * memoryShare / 100)
		debug.SetGCPercent(growth) // the limit keeps the heap in bounds
	}
	d.listener, d.Front, d.Probe, d.Operators = d.listen(s.Http), d.listen(s.Front), d.listen(s.Probe), d.listen(s.Operators)
	d.Who = wire.Who{Name: s.Name, Kind: kind, Boot: Random(8), Zone: s.Zone, Addr: s.Advertise, Http: d.listener.Addr().String()}
	d.crashes.keep(d)
	began := make(chan struct{})
	go settings.Watch(context.Background(), kind, s, func(next settings.Settings) {
		d.verbosity(flags, next.Verbosity)
		d.live.Store(&next)
	}, func() { close(began) })
	<-began
	return d
}

// Live gives the settings with what has changed since the start; where nobody
// watches them, as in a daemon that New did not make, those of the start.
func (d *Daemon) Live() settings.Settings {
	if s := d.live.Load(); s != nil {
		return *s
	}
	return d.Settings
}

func (d *Daemon) seeds() []string { return d.Live().Seeds }

func (d *Daemon) verbosity(flags *flag.FlagSet, v int) {
	if err := flags.Set("v", strconv.Itoa(v)); err != nil {
		klog.Warningf("%s: The verbosity cannot be set: %v.", d.Kind, err)
	}
}

func number(n int64) string { return strconv.FormatInt(n, 10) }

// Random gives an identifier of so many bytes.
func Random(size int) string {
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
	return d.View.IsFresh(d.Now(), d.Bounds.Of(timing.Fresh)) && (d.CanRead == nil || d.CanRead())
}

// Must ends the process on an error.
func (d *Daemon) Must(err error) {
	if err != nil {
		klog.Errorf("%s: Stopping: %v.", d.Kind, err)
		klog.Flush()
		os.Exit(1)
	}
}

// Link opens the transport node.
func (d *Daemon) Link(handlers map[string]transport.Handler) {
	s := d.Settings
	node, err := transport.NewNode(transport.Options{Self: d.Who, Listen: s.Listen, Batch: s.Batch, Pool: s.Pool,
		Flush: s.Flush.Duration, Window: s.Window, Bounds: d.Bounds, Handlers: handlers, Shape: s.Shape(), Refused: d.Refused})
	d.Must(err)
	d.Node = node
	go node.Serve()
}

// Client makes the daemon's session; say tells what it says of itself.
func (d *Daemon) Client(say func() wire.Poll) *session.Client {
	return &session.Client{Node: d.Node, Bounds: d.Bounds, Seeds: d.seeds, View: d.View, Membership: d.Membership,
		Now: d.Now, Self: say}
}

// Poll is what every daemon says of itself.
func (d *Daemon) Poll() wire.Poll {
	return wire.Poll{Who: d.Who, Revisions: []wire.PartRevision{}, Owns: []wire.Owned{}, Beside: []wire.Member{},
		Fact: wire.Fact{Revision: d.View.Revision(feed.ConfigPart), Fresh: d.IsFresh(), Counts: map[string]int64{}}}
}
