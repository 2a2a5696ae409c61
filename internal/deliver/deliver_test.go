package deliver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/feed"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// newTestAdapter returns an adapter with a fresh view of one pool, one worker and one lane.
func newTestAdapter(address string) *Adapter {
	view := feed.NewView(0)
	changes := []wire.Change{
		{Key: config.DocumentKey, Revision: 1, Value: []byte(`{"pools":{"p":{"bound":"50ms","ease":"0s"},"q":{}},"lanes":{"l":{"pools":["p"]}}}`)},
		{Key: config.WorkersKey + "p", Revision: 2, Value: fmt.Appendf(nil, `{"workers":[{"name":"w","address":"%s","cell":"c"}]}`, address)},
		{Key: config.DutyKey + "p/w", Revision: 3, Value: config.Duty{Holder: "a", Boot: "1"}.Encode()}}
	d := &daemon.Daemon{Started: time.Now(), Bounds: timing.Default, View: view, Who: wire.Who{Name: "a", Boot: "1", Zone: "c"}}
	view.Update([]wire.PartNews{{To: 3, Changes: changes}}, d.Now())
	d.Settings.MaxInFlight = 9
	return NewWithEnvironment(d, &config.Cache{View: view}, DefaultCodec, daemonEnvironment(context.Background(), d))
}

// closedPort returns an address on which nothing listens.
func closedPort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	return listener.Addr().String()
}

// rawReply returns a handler that writes raw bytes and closes the connection.
func rawReply(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = conn.Write([]byte(text))
			conn.Close()
		}
	}
}

// TestDeliver checks how each behaviour of a worker is classified. An incomplete reply must never count as a success.
// It also guards against an unreachable worker that counts as healthy: it was flooded when it came back.
func TestDeliver(t *testing.T) {
	slow := make(chan struct{})
	cases := []struct {
		name    string
		worker  http.HandlerFunc // nil: nothing listens
		hurt    func(a *Adapter, r *run)
		kind    string
		isBegun bool
		isFinal bool
		isWait  bool // on an ordered lane: the run may still be in progress
		misses  int  // failures recorded for the worker
	}{
		{"a complete reply", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "well") }, nil, "", true, false, false, 0},
		{"a failure", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, nil, "unsound", true, false, false, 1},
		{"a status that blames the message", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(422) }, nil, "rejected", true, true, false, 0},
		{"a body shorter than its Content-Length", rawReply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), nil, "cut_short", true, false, true, 1},
		{"chunks without the last one", rawReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), nil, "cut_short", true, false, true, 1},
		{"a reply without a length", rawReply("HTTP/1.1 200 OK\r\n\r\nall"), nil, "cut_short", true, false, true, 1},
		{"an incomplete head", rawReply("HTTP/1.1 200 OK\r\nContent-"), nil, "lost", true, false, true, 1},
		{"a connection closed without a reply", rawReply(""), nil, "lost", true, false, true, 1},
		{"no reply within the bound", func(http.ResponseWriter, *http.Request) { <-slow }, nil, "late", true, false, false, 1},
		{"no listener", nil, nil, "lost", false, false, false, 1},
		{"a body that does not match its checksum", nil, func(_ *Adapter, r *run) { r.Checksum = "other" }, "broken", false, false, false, 0},
		{"a pool that the lane may not use", nil, func(_ *Adapter, r *run) { r.Pool = "q" }, "rejected", false, false, false, 0},
		{"a bound that has grown since an ordered run was started", nil, func(_ *Adapter, r *run) { r.Key, r.Bound = "k", 49 }, "stale", false, false, false, 0},
		{"a bound that has grown, on a lane without order", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "well") },
			func(_ *Adapter, r *run) { r.Bound = 49 }, "", true, false, false, 0},
		{"a bound that has been lowered", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "well") },
			func(_ *Adapter, r *run) { r.Key, r.Bound = "k", 51 }, "", true, false, false, 0},
		{"a duty that has moved to another boot", nil, func(a *Adapter, _ *run) { a.d.Who.Boot = "2" }, "not_owner", false, false, false, 0},
	}
	Convey("A run that encounters", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				address := closedPort()
				var asked atomic.Int64
				if c.worker != nil {
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { asked.Add(1); c.worker(w, r) }))
					defer server.Close()
					address = server.Listener.Addr().String()
				}
				a := newTestAdapter(address)
				body := []byte("body")
				r := &run{Run: wire.Run{Id: "0-x", Attempt: 1, Lane: "l", Pool: "p", Worker: "w", Body: body, Checksum: wire.Checksum(body), Bound: 50},
					permit: &permit{held: &heldWorker{worker: NewWorkerState(config.Pool{Concurrency: 8}, 0, 0)}}}
				if c.isWait {
					r.Key = "k"
				}
				if c.hurt != nil {
					c.hurt(a, r)
				}
				o := a.deliver(context.Background(), r)
				if c.kind == "late" {
					close(slow)
				}
				So(o.Kind, ShouldEqual, c.kind)
				So(o.MayHaveStarted || o.Kind == "", ShouldEqual, c.isBegun)
				So(o.Final, ShouldEqual, c.isFinal)
				So(o.Proof.Checksum == "", ShouldEqual, c.kind != "")
				if c.isBegun {
					So(o.Wait > 0, ShouldEqual, c.isWait)
					So(asked.Load(), ShouldEqual, 1)
				}
				So(r.permit.held.worker.consecutiveFailures, ShouldEqual, c.misses)
			})
		}
	})
}

// TestMovedDuty guards against slot requests without an answer when the duty moves while they wait: the store counted
// them as pending for ever, and after enough of them requested no more slots.
func TestMovedDuty(t *testing.T) {
	Convey("Given slot requests that wait for a busy worker", t, func() {
		a, granted, waiting := newTestAdapter("127.0.0.1:1"), 0, 0
		ask := func() {
			waiting++
			a.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w", Hold: 60_000}, func(reply any) {
				waiting--
				if reply.(*wire.Grant).Kind == "" {
					granted++
				}
			})
		}
		for range 7 {
			ask()
		}
		So(granted, ShouldEqual, 4)
		So(waiting, ShouldEqual, 3)
		Convey("all are answered when the duty has moved", func() {
			a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.DutyKey + "p/w", Revision: 4,
				Value: config.Duty{Holder: "b", Boot: "1"}.Encode()}}}}, a.d.Now())
			ask()
			So(waiting, ShouldEqual, 0)
			So(granted, ShouldEqual, 4)
		})
		Convey("and when the worker has another address", func() {
			a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.WorkersKey + "p", Revision: 4,
				Value: []byte(`{"workers":[{"name":"w","address":"127.0.0.1:2","cell":"c"}]}`)}}}}, a.d.Now())
			ask()
			So(waiting, ShouldEqual, 0)
			So(granted, ShouldEqual, 5)
		})
	})
}

// TestOneTimer guards against timers that multiply: each call of serve scheduled two more, which overloaded a busy
// adapter.
func TestOneTimer(t *testing.T) {
	Convey("However often serve is called, exactly one further call is scheduled", t, func() {
		a, due := newTestAdapter("127.0.0.1:1"), []func(){}
		a.environment.After = func(_ time.Duration, call func()) { due = append(due, call) }
		for range 9 {
			a.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w", Hold: 60_000}, func(any) {})
		}
		for range 9 {
			a.slots.serve()
			at := a.slots.timerAt
			So(at, ShouldBeGreaterThan, a.d.Now())
			calls := due
			due = nil
			for _, call := range calls {
				call()
			}
			So(len(due), ShouldEqual, 1)
		}
	})
}

// TestLeaving guards against an adapter that begins runs while it shuts down, so that its record of them is lost.
func TestLeaving(t *testing.T) {
	Convey("Given an adapter that is shutting down", t, func() {
		a := newTestAdapter("127.0.0.1:1")
		granted := &wire.Grant{}
		ask := func() {
			a.slots.requestSlot(&wire.Want{Pool: "p", Worker: "w"}, func(reply any) { granted = reply.(*wire.Grant) })
		}
		ask()
		So(granted.Kind, ShouldBeEmpty)
		gone, cancel := context.WithCancel(context.Background())
		cancel()
		a.Drain(gone)
		Convey("a run in a slot granted before is refused, and is not open", func() {
			ack := &wire.RunAck{}
			a.handleRun(&wire.Run{Id: "0-x", Attempt: 1, Pool: "p", Worker: "w", Permit: granted.Permit}, func(reply any) { ack = reply.(*wire.RunAck) })
			So(ack.Kind, ShouldEqual, "not_owner")
			So(a.OpenRunCount(), ShouldEqual, 0)
		})
		Convey("no slot is granted, and its session counts announce the shutdown", func() {
			ask()
			So(granted.Kind, ShouldNotBeEmpty)
			counts := map[string]int64{}
			a.AddCounts(counts)
			So(counts[DrainingCount], ShouldEqual, 1)
		})
	})
}

// TestThawed checks that steps compiled from an older configuration do nothing once a newer one is known, however
// recently the view was confirmed.
func TestThawed(t *testing.T) {
	Convey("A run whose steps were compiled before a freeze is not sent after it", t, func() {
		a := newTestAdapter("127.0.0.1:1")
		old := a.configs.Current().Rules
		a.d.View.Update([]wire.PartNews{{From: 3, To: 4, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 4, Value: []byte(`{}`)}}}}, a.d.Now())
		r := &run{Run: wire.Run{Lane: "l", Pool: "p", Worker: "w"}}
		err := a.actions[pipeline.RequireFreshView](pipeline.Step{}, &delivery{ctx: context.Background(), run: r, rules: old})
		So(err, ShouldNotBeNil)
	})
}
