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
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"caperwheel/internal/beat"
	"caperwheel/internal/feed"
	"caperwheel/internal/mishap"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// Daemon is one running process.
type Daemon struct {
	Kind     string
	Settings settings.Settings
	Bounds   beat.Bounds
	Who      wire.Who
	View     *feed.View
	Roll     *session.Roll
	Node     *transport.Node
	Mux      *http.ServeMux
	Ready    func() (isReady bool, why string)
	CanRead  func() bool // whether the newest charter can be read, if the daemon needs it

	gauges   gauges
	Started  time.Time
	listener net.Listener
}

// New reads the settings and opens the HTTP port. A mishap ends the process
// with exit code 2 (settings) or 1.
func New(kind string) *Daemon {
	s, err := settings.Load(kind, os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &Daemon{Kind: kind, Settings: s, Bounds: s.Bounds(), Started: time.Now(), Mux: http.NewServeMux(),
		View: feed.NewView(s.Parts), Roll: session.NewRoll()}
	prometheus.MustRegister(&d.gauges)
	d.Measure(d.measureView)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	d.verbosity(flags, s.Verbosity)
	d.listener, err = net.Listen("tcp", s.Http)
	d.Must(mishap.Wrap(err, mishap.Invalid, "listen on %s", s.Http))
	d.Who = wire.Who{Name: s.Name, Kind: kind, Boot: Random(8), Cell: s.Cell, Addr: s.Advertise, Http: d.listener.Addr().String()}
	go settings.Watch(context.Background(), kind, s, func(next settings.Settings) { d.verbosity(flags, next.Verbosity) }, func() {})
	return d
}

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
		panic(mishap.Wrap(err, mishap.Internal, "random"))
	}
	return hex.EncodeToString(raw)
}

// Now is the daemon's monotonic clock.
func (d *Daemon) Now() time.Duration { return time.Since(d.Started) }

// IsFresh tells whether the daemon may act on its view.
func (d *Daemon) IsFresh() bool {
	return d.View.IsFresh(d.Now(), d.Bounds.Of(beat.Fresh)) && (d.CanRead == nil || d.CanRead())
}

// Must ends the process on a mishap.
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
		Flush: s.Flush.Duration, Window: s.Window, Bounds: d.Bounds, Handlers: handlers, Shape: s.Shape()})
	d.Must(err)
	d.Node = node
	go node.Serve()
}

// Client makes the daemon's session; say tells what it says of itself.
func (d *Daemon) Client(say func() wire.Poll) *session.Client {
	return &session.Client{Node: d.Node, Bounds: d.Bounds, Seeds: d.Settings.Seeds, View: d.View, Roll: d.Roll,
		Now: d.Now, Self: say}
}

// Poll is what every daemon says of itself.
func (d *Daemon) Poll() wire.Poll {
	return wire.Poll{Who: d.Who, Stamps: []wire.PartStamp{}, Owns: []wire.Owned{}, Beside: []wire.Member{},
		Fact: wire.Fact{Stamp: d.View.Stamp(feed.CharterPart), Fresh: d.IsFresh(), Counts: map[string]int64{}}}
}

// Serve answers HTTP until a signal comes; then leave is given time to end
// what is under way.
func (d *Daemon) Serve(leave func(ctx context.Context)) {
	d.Mux.Handle("GET /metrics", promhttp.Handler())
	d.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	d.Mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if isReady, why := d.Ready(); !isReady {
			w.Header().Set("Retry-After", "1")
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	server := &http.Server{Handler: d.Mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
		MaxHeaderBytes: 32 << 10}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		if err := server.Serve(d.listener); err != http.ErrServerClosed {
			d.Must(mishap.Wrap(err, mishap.Internal, "serve HTTP"))
		}
	}()
	klog.Infof("%s: %s of cell %s runs, daemons at %s, HTTP at %s.", d.Kind, d.Who.Name, d.Who.Cell, d.Who.Addr, d.Who.Http)
	<-stop
	klog.Infof("%s: Stopping on a signal.", d.Kind)
	ctx, cancel := context.WithTimeout(context.Background(), 2*d.Bounds.Charter)
	defer cancel()
	if leave != nil {
		leave(ctx)
	}
	_ = server.Shutdown(ctx)
	d.Node.Close()
	klog.Flush()
}
