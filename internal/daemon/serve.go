package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
)

// Shares of the time between being asked to stop and being killed, in
// hundredths. Invariant: leaveShare < closeShare < 100.
const (
	leaveShare = 75 // what is under way may end until then
	closeShare = 90 // open connections are cut then
)

// listen opens a port whose dead callers are noticed; none for no address.
func (d *Daemon) listen(addr string) net.Listener {
	if addr == "" {
		return nil
	}
	config := net.ListenConfig{KeepAliveConfig: d.Bounds.Probes()}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	d.Must(errs.Wrap(err, errs.Invalid, "listen on %s", addr))
	return listener
}

// IsReady reports whether the daemon should be sent work, and if not, why. One
// that was asked to stop is not, though it still serves.
func (d *Daemon) IsReady() (bool, string) {
	if d.leaving.Load() {
		return false, "stopping"
	}
	return d.Ready()
}

// IsLeaving reports whether the daemon was asked to stop.
func (d *Daemon) IsLeaving() bool { return d.leaving.Load() }

func (d *Daemon) route() {
	d.Mux.Handle("GET /metrics", promhttp.Handler())
	d.Mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	d.Mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if isReady, why := d.IsReady(); !isReady {
			w.Header().Set("Retry-After", "1")
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// open serves all listeners.
func (d *Daemon) open() (servers []*http.Server) {
	for _, door := range []struct {
		listener net.Listener
		mux      http.Handler
	}{{d.listener, web.AsCame(d.Mux)}, {d.Front, web.AsCame(d.FrontMux)}, {d.Probe, d.ProbeMux}, {d.Operators, d.OperatorsMux}} {
		if door.listener == nil {
			continue
		}
		server := &http.Server{Handler: door.mux, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute,
			MaxHeaderBytes: 32 << 10}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(door.listener); err != http.ErrServerClosed {
				d.Must(errs.Wrap(err, errs.Internal, "serve HTTP"))
			}
		}()
	}
	return servers
}

// Serve answers HTTP until a signal comes. Then the daemon is not ready, but
// serves for as long as it lingers; after that leave is given time to end what
// is under way.
func (d *Daemon) Serve(leave func(ctx context.Context)) {
	d.route()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	servers := d.open()
	klog.Infof("%s: %s of cell %s runs, daemons at %s, HTTP at %s.", d.Kind, d.Who.Name, d.Who.Zone, d.Who.Addr, d.Who.Http)
	<-stop
	klog.Infof("%s: Stopping on a signal.", d.Kind)
	d.stop(servers, leave)
	d.Node.Close()
	klog.Flush()
}

func (d *Daemon) stop(servers []*http.Server, leave func(ctx context.Context)) {
	stay := d.Settings.Stay()
	closing, cancel := context.WithTimeout(context.Background(), stay*closeShare/100)
	defer cancel()
	ctx, cancel := context.WithTimeout(closing, stay*leaveShare/100)
	defer cancel()
	d.leaving.Store(true)
	for _, server := range servers { // callers come anew, and so to others
		server.SetKeepAlivesEnabled(false)
	}
	timing.Wait(ctx, d.Settings.Linger.Duration)
	if leave != nil {
		leave(ctx)
	}
	for _, server := range servers {
		if server.Shutdown(closing) != nil {
			server.Close()
		}
	}
}
