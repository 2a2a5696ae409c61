package transport

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestDownAtOnce guards against a session that breaks before its link has attached it, as in a process that
// is frozen at that moment, and is kept for good: the link never dialed again, and every request failed as
// unsent.
func TestDownAtOnce(t *testing.T) {
	Convey("Given a session that has broken before its link attaches it", t, func() {
		server, client := newNodePair(Options{}, func(_ wire.Who, body any, answer func(any)) {
			answer(&wire.Taken{Id: body.(*wire.Take).Id})
		})
		Reset(server.Close)
		Reset(client.Close)
		peer := client.Peer(wire.PlaceLink, server.Addr())
		s, err := client.dial(wire.PlaceLink, server.Addr())
		So(err, ShouldBeNil)
		s.shutDown(errs.New(errs.Lost, "closed by the test"))
		peer.attach(s)
		Convey("the link dials again, and requests are answered", func() {
			peer.mu.Lock()
			isKept := peer.session == s
			peer.mu.Unlock()
			So(isKept, ShouldBeFalse)
			waitConnected(peer)
			reply, err := peer.Call(context.Background(), &wire.Take{Id: "0-x"})
			So(err, ShouldBeNil)
			So(reply.(*wire.Taken).Id, ShouldEqual, "0-x")
		})
	})
}

// TestRepliesFindTheirAsk guards against a reply that is passed to the wrong request: its cases are replies
// that belong to no pending request, in this session or after it broke.
func TestRepliesFindTheirAsk(t *testing.T) {
	cases := []struct {
		name   string
		before func(reply func(corr int64), corr int64) // sends replies before the right one
	}{
		{"comes twice for an earlier request", func(reply func(int64), corr int64) { reply(corr - 1); reply(corr - 1) }},
		{"is for a request of the previous session", func(reply func(int64), corr int64) { reply(1) }},
		{"is for a request that was never sent", func(reply func(int64), corr int64) { reply(corr + 1); reply(1 << 40); reply(-1) }},
		{"is for no request", func(reply func(int64), corr int64) { reply(0) }},
	}
	Convey("Given a link that has lost a session with a pending request, a reply that", t, func() {
		for _, c := range cases {
			Convey(c.name+" is dropped", func() {
				server, client := newNodePair(Options{}, func(wire.Who, any, func(any)) {})
				Reset(server.Close)
				Reset(client.Close)
				peer := client.Peer(wire.PlaceLink, server.Addr())
				waitConnected(peer)
				failed := make(chan error, 1)
				So(peer.Post(&wire.Take{Id: "0-1"}, func(_ any, err error) { failed <- err }), ShouldBeNil)
				peer.mu.Lock()
				old := peer.session
				peer.mu.Unlock()
				old.shutDown(errs.New(errs.Lost, "closed by the test"))
				So(errs.Is(<-failed, errs.Lost), ShouldBeTrue)
				waitConnected(peer)

				got := []any{}
				So(peer.Post(&wire.Take{Id: "0-2"}, func(reply any, _ error) { got = append(got, reply) }), ShouldBeNil)
				peer.mu.Lock()
				corr := peer.lastCorrelationId
				peer.mu.Unlock()
				reply := func(number int64) { old.handle(wire.Item{CorrelationId: number, Body: &wire.Taken{Id: "another's"}}) }
				c.before(reply, corr)
				So(got, ShouldBeEmpty)
				peer.handleReply(wire.Item{CorrelationId: corr, Body: &wire.Taken{Id: "0-2"}})
				peer.handleReply(wire.Item{CorrelationId: corr, Body: &wire.Taken{Id: "0-2"}})
				So(len(got), ShouldEqual, 1)
				So(got[0].(*wire.Taken).Id, ShouldEqual, "0-2")
			})
		}
	})
}
