package deliver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/wire"
)

// TestMovedMeanwhile checks that a run is not sent if the adapter learns of a relevant change while the run's
// connection is being made; the process may freeze during that.
func TestMovedMeanwhile(t *testing.T) {
	cases := []struct{ name, key, value, kind string }{
		{"nothing", config.DutyKey + "p/v", string(config.Duty{Holder: "a", Boot: "1"}.Encode()), ""},
		{"another holder of the duty", config.DutyKey + "p/w", string(config.Duty{Holder: "b", Boot: "1"}.Encode()), "not_owner"},
		{"another configuration", config.DocumentKey, `{}`, "stale"},
		{"another address of the worker", config.WorkersKey + "p", `{"workers":[{"name":"w","address":"127.0.0.1:2","cell":"c"}]}`, "rejected"},
		{"a worker that is no longer listed", config.WorkersKey + "p", `{"workers":[]}`, "rejected"},
	}
	Convey("A run that has passed its checks, followed by a change to", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				asked := &atomic.Int64{}
				server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked.Add(1) }))
				Reset(server.Close)
				a := newTestAdapter(server.Listener.Addr().String())
				r := &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Bound: 50}}
				e := &delivery{ctx: context.Background(), run: r, outcome: &wire.Outcome{}, rules: a.configs.Current().Rules}
				So(a.actions[pipeline.RequireFreshView](pipeline.Step{}, e), ShouldBeNil)
				So(a.actions[pipeline.RequireLiveWorker](pipeline.Step{}, e), ShouldBeNil)
				a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: c.key, Revision: 4, Value: []byte(c.value)}}}}, a.d.Now())
				err := a.actions[pipeline.SendToWorker](pipeline.Step{}, e)
				kind := ""
				if err != nil {
					kind = string(errs.KindOf(err))
				}
				So(kind, ShouldEqual, c.kind)
				So(asked.Load() == 1, ShouldEqual, c.kind == "")
				So(r.isSent.Load(), ShouldEqual, c.kind == "")
				So(r.isAttempted.Load(), ShouldEqual, c.kind == "") // the worker's health is not affected
			})
		}
	})
}
