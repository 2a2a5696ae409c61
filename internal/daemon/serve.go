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

// Shares of the time between being asked to stop and being killed, in
// hundredths. Invariant: leaveShare < outlastShare < closeShare < 100.
const (
	leaveShare   = 75 // what is under way may end until then; what is left is answered with what is known
	outlastShare = 85 // a daemon that others need until they have stopped has until then
	closeShare   = 90 // open connections are cut then
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

// Leave has the daemon say from now on that it is stopping.
func (d *Daemon) Leave() { d.leaving.Store(true) }

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
func (d *Daemon) open() (servers []*web.Server) {
	for _, door := range []struct {
		listener net.Listener
		mux      http.Handler
	}{{d.listener, web.AsCame(d.Mux)}, {d.Front, web.AsCame(d.FrontMux)}, {d.Probe, d.ProbeMux}, {d.Operators, d.OperatorsMux}} {
		if door.listener == nil {
			continue
		}
		server := web.NewServer(web.ServerOptions{Listener: door.listener, Handler: door.mux, LastLook: d.Bounds.Of(timing.LastLook)})
		servers = append(servers, server)
		go func() { d.Must(server.Serve()) }()
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
	klog.Infof("%s: %s of zone %s runs, daemons at %s, HTTP at %s.", d.Kind, d.Who.Name, d.Who.Zone, d.Who.Addr, d.Who.Http)
	<-stop
	klog.Infof("%s: Stopping on a signal.", d.Kind)
	asked := d.Now()
	d.stop(servers, leave)
	klog.Infof("%s: Stopped %v after the signal.", d.Kind, (d.Now() - asked).Round(time.Millisecond))
	d.Node.Close()
	d.crashes.end(d)
	klog.Flush()
}

func (d *Daemon) stop(servers []*web.Server, leave func(ctx context.Context)) {
	stay := d.Settings.Stay()
	closing, cancel := context.WithTimeout(context.Background(), stay*closeShare/100)
	defer cancel()
	ctx, cancel := context.WithTimeout(closing, stay*leaveShare/100)
	defer cancel()
	d.Leave()
	for _, server := range servers { // callers come anew, and so to others
		server.Leave()
	}
	context.AfterFunc(ctx, func() {
		for _, server := range servers {
			server.Hurry()
		}
	})
	timing.Wait(ctx, d.Settings.Linger.Duration)
	if d.Outlasts {
		ctx, cancel = context.WithTimeout(closing, stay*outlastShare/100)
		defer cancel()
	}
	if leave != nil {
		leave(ctx)
	}
	var stopping sync.WaitGroup
	for _, server := range servers {
		stopping.Go(func() {
			if err := server.Stop(closing); err != nil {
				klog.Warningf("%s: Stopping: %v.", d.Kind, err)
			}
		})
	}
	stopping.Wait()
}
