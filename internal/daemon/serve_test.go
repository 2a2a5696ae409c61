package daemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
)

// TestStop guards against a stopping daemon that still looks ready to load balancers, or drops requests
// that still arrive. Their connections are closed after the reply.
func TestStop(t *testing.T) {
	Convey("Given a daemon with all its listeners", t, func() {
		s := settings.Default()
		s.Grace, s.Linger = settings.Duration{Duration: time.Minute}, settings.Duration{Duration: time.Millisecond}
		d := &Daemon{Kind: "adapter", Settings: s, Bounds: timing.Default, Mux: http.NewServeMux(), FrontMux: http.NewServeMux(),
			ProbeMux: http.NewServeMux(), OperatorsMux: http.NewServeMux(), Ready: func() (bool, string) { return true, "" }}
		d.listener, d.Front, d.Probe, d.Operators = d.listen("127.0.0.1:0"), d.listen("127.0.0.1:0"), d.listen("127.0.0.1:0"), d.listen("")
		So(d.Operators, ShouldBeNil)
		d.addRoutes()
		d.FrontMux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "taken") })
		d.ProbeMux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
			if isReady, _ := d.IsReady(); !isReady {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		get := func(addr, path string) (*http.Response, string, error) {
			reply, err := http.Get("http://" + addr + path)
			if err != nil {
				return nil, "", err
			}
			defer reply.Body.Close()
			raw, err := io.ReadAll(reply.Body)
			return reply, string(raw), err
		}
		servers := d.startServers()
		So(len(servers), ShouldEqual, 3)
		reply, text, err := get(d.listener.Addr().String(), "/readyz")
		So(err, ShouldBeNil)
		So(text, ShouldEqual, "ready\n")
		So(reply.Close, ShouldBeFalse)
		d.shutdown(servers, func(ctx context.Context) {
			until, _ := ctx.Deadline()
			So(time.Until(until), ShouldBeLessThanOrEqualTo, 45*time.Second)
			reply, _, err := get(d.listener.Addr().String(), "/readyz")
			So(err, ShouldBeNil)
			So(reply.StatusCode, ShouldEqual, 503)
			reply, _, err = get(d.Probe.Addr().String(), "/")
			So(err, ShouldBeNil)
			So(reply.StatusCode, ShouldEqual, 503)
			reply, text, err := get(d.Front.Addr().String(), "/")
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "taken")
			So(reply.Close, ShouldBeTrue)
		})
		_, _, err = get(d.Front.Addr().String(), "/")
		So(err, ShouldNotBeNil)
	})
}
