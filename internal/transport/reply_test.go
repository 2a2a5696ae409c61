package transport

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestDownAtOnce: a session that broke before its link had taken it over, as
// one may in a process that is frozen right then, was once kept for good: the
// link never dialled again, and every ask was told that it was not sent.
func TestDownAtOnce(t *testing.T) {
	Convey("Given a session that has broken before its link adopts it", t, func() {
		server, client := newNodePair(Options{}, func(_ wire.Who, body any, answer func(any)) {
			answer(&wire.Taken{Id: body.(*wire.Take).Id})
		})
		Reset(server.Close)
		Reset(client.Close)
		peer := client.Peer(wire.PlaceLink, server.Addr())
		s, err := client.dial(wire.PlaceLink, server.Addr())
		So(err, ShouldBeNil)
		s.down(errs.New(errs.Lost, "the test says so"))
		peer.attach(s)
		Convey("the link dials again, and asks are answered", func() {
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

// TestRepliesFindTheirAsk is the table of replies that belong to no ask that
// waits, in this session or after it broke: none is given to another ask.
func TestRepliesFindTheirAsk(t *testing.T) {
	cases := []struct {
		name   string
		before func(reply func(corr int64), corr int64) // replies that come before the right one
	}{
		{"comes twice for an ask before", func(reply func(int64), corr int64) { reply(corr - 1); reply(corr - 1) }},
		{"is for an ask of the session before", func(reply func(int64), corr int64) { reply(1) }},
		{"is for an ask that nobody sent", func(reply func(int64), corr int64) { reply(corr + 1); reply(1 << 40); reply(-1) }},
		{"is for no ask", func(reply func(int64), corr int64) { reply(0) }},
	}
	Convey("Given a link that has lost a session with an ask under way, a reply that", t, func() {
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
				old.down(errs.New(errs.Lost, "the test says so"))
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
