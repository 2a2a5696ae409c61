package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
)

// Deadlines of a shutdown in percent of the time between the signal to stop and the kill. Invariant:
// drainPercent < stopLastPercent < closePercent < 100.
const (
	drainPercent    = 75 // requests in progress may finish until then; the rest are answered with what is known
	stopLastPercent = 85 // a daemon that others need until they have stopped has until then
	closePercent    = 90 // open connections are cut off then
)

// listen opens a port with TCP keep-alive, so that dead callers are noticed. It returns nil for an empty
// address.
func (d *Daemon) listen(addr string) net.Listener {
	if addr == "" {
		return nil
	}
	config := net.ListenConfig{KeepAliveConfig: d.Bounds.KeepAliveConfig()}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	d.Must(errs.Wrap(err, errs.Invalid, "listen for HTTP on %s", addr))
	return listener
}

// IsReady reports whether the daemon should receive work, and if not, why. A daemon that has been asked to
// stop should not, though it still serves.
func (d *Daemon) IsReady() (bool, string) {
	if d.isLeaving.Load() {
		return false, "stopping"
	}
	return d.Ready()
}

// StartDraining marks the daemon as stopping: from now on it is not ready, and says so.
func (d *Daemon) StartDraining() { d.isLeaving.Store(true) }

// IsDraining reports whether the daemon has been asked to stop.
func (d *Daemon) IsDraining() bool { return d.isLeaving.Load() }

// addRoutes registers the handlers for metrics and health checks.
func (d *Daemon) addRoutes() {
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

// startServers serves all listeners.
func (d *Daemon) startServers() (servers []*web.Server) {
	for _, port := range []struct {
		listener net.Listener
		mux      http.Handler
	}{{d.listener, web.WithoutPathRedirects(d.Mux)}, {d.Front, web.WithoutPathRedirects(d.FrontMux)}, {d.Probe, d.ProbeMux}, {d.Operators, d.OperatorsMux}} {
		if port.listener == nil {
			continue
		}
		server := web.NewServer(web.ServerOptions{Listener: port.listener, Handler: port.mux, FinalReadTimeout: d.Bounds.Of(timing.FinalReadTimeout)})
		servers = append(servers, server)
		go func() { d.Must(server.Serve()) }()
	}
	return servers
}

// Serve serves HTTP until a signal to stop. Then the daemon is not ready, but serves for the linger time;
// after that drain may finish the work in progress.
func (d *Daemon) Serve(drain func(ctx context.Context)) {
	d.addRoutes()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	servers := d.startServers()
	klog.Infof("%s: %s of zone %s runs, daemons at %s, HTTP at %s.", d.Kind, d.Who.Name, d.Who.Zone, d.Who.Addr, d.Who.Http)
	<-stop
	klog.Infof("%s: Stopping on a signal.", d.Kind)
	stopRequested := d.Now()
	d.shutdown(servers, drain)
	klog.Infof("%s: Stopped %v after the signal.", d.Kind, (d.Now() - stopRequested).Round(time.Millisecond))
	d.Node.Close()
	d.crashes.reportCleanExit(d)
	klog.Flush()
}

// shutdown drains the daemon and stops its servers within the time that the settings give.
func (d *Daemon) shutdown(servers []*web.Server, drain func(ctx context.Context)) {
	stay := d.Settings.GracePeriod()
	closing, cancel := context.WithTimeout(context.Background(), stay*closePercent/100)
	defer cancel()
	ctx, cancel := context.WithTimeout(closing, stay*drainPercent/100)
	defer cancel()
	d.StartDraining()
	for _, server := range servers { // callers reconnect, and so move to other daemons
		server.StartDraining()
	}
	context.AfterFunc(ctx, func() {
		for _, server := range servers {
			server.CancelRequests()
		}
	})
	timing.Wait(ctx, d.Settings.Linger.Duration)
	if d.StopsLast {
		ctx, cancel = context.WithTimeout(closing, stay*stopLastPercent/100)
		defer cancel()
	}
	if drain != nil {
		drain(ctx)
	}
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() {
			if err := server.Stop(closing); err != nil {
				klog.Warningf("%s: HTTP server did not stop cleanly: %v.", d.Kind, err)
			}
		})
	}
	stopping.Wait()
}
