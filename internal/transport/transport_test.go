package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// newNodePair returns a server that serves the place and group links with handler, and a client.
func newNodePair(serverOptions Options, handler Handler) (*Node, *Node) {
	serverOptions.Listen = "127.0.0.1:0"
	serverOptions.Handlers = map[string]Handler{"place": handler, "group": handler}
	server, err := NewNode(serverOptions)
	So(err, ShouldBeNil)
	go server.Serve()
	client, err := NewNode(Options{Batch: serverOptions.Batch, Window: serverOptions.Window, FrameLimit: serverOptions.FrameLimit, Self: wire.Who{Name: "client"}})
	So(err, ShouldBeNil)
	return server, client
}

// waitConnected returns when the peer's session is open.
func waitConnected(p *Peer) {
	got := make(chan struct{})
	p.onConnected(func() { close(got) })
	<-got
}

func TestCallsAreAnswered(t *testing.T) {
	Convey("Given a node that answers with the body of the request", t, func() {
		server, client := newNodePair(Options{Self: wire.Who{Name: "server"}}, func(from wire.Who, body any, answer func(any)) {
			take := body.(*wire.Take)
			answer(&wire.Taken{Id: take.Id, Text: from.Name + string(take.Body)})
		})
		defer server.Close()
		defer client.Close()
		peer := client.Peer(wire.PlaceLink, server.Addr())
		waitConnected(peer)
		Convey("each of a thousand concurrent calls gets its own reply", func() {
			var group sync.WaitGroup
			wrong := make(chan string, 1000)
			for i := range 1000 {
				group.Add(1)
				go func() {
					defer group.Done()
					id := string(rune('a'+i%26)) + time.Duration(i).String()
					reply, err := peer.Call(context.Background(), &wire.Take{Id: id, Body: []byte(id)})
					if err != nil {
						wrong <- err.Error()
					} else if got := reply.(*wire.Taken); got.Id != id || got.Text != "client"+id {
						wrong <- got.Id
					}
				}()
			}
			group.Wait()
			So(len(wrong), ShouldEqual, 0)
		})
	})
}

// TestLargeMessages guards against a batch of large messages that exceeds the frame limit and breaks the
// session on every attempt.
func TestLargeMessages(t *testing.T) {
	Convey("Given a session with a frame limit of 4 MiB", t, func() {
		got := make(chan int, 99)
		server, client := newNodePair(Options{FrameLimit: 4 << 20}, func(_ wire.Who, body any, _ func(any)) { got <- len(body.(*wire.GroupMsg).State) })
		defer server.Close()
		defer client.Close()
		peer := client.Peer(wire.GroupLink, server.Addr())
		waitConnected(peer)
		Convey("twenty messages of 1 MiB posted at once all arrive", func() {
			for range 20 {
				So(peer.Post(&wire.GroupMsg{State: make([]byte, 1<<20), Entries: []wire.Entry{}, Roster: []string{}}, nil), ShouldBeNil)
			}
			for range 20 {
				So(<-got, ShouldEqual, 1<<20)
			}
		})
	})
}

func TestFullWindowRejects(t *testing.T) {
	Convey("Given a peer that consumes nothing", t, func() {
		gate := make(chan struct{})
		server, client := newNodePair(Options{Window: 8, Batch: 2}, func(wire.Who, any, func(any)) { <-gate })
		defer server.Close()
		defer client.Close()
		defer close(gate)
		peer := client.Peer(wire.PlaceLink, server.Addr())
		waitConnected(peer)
		Convey("the sender is rejected once the window is used up", func() {
			for range 8 {
				So(peer.Post(&wire.Look{}, nil), ShouldBeNil)
			}
			So(errs.Is(peer.Post(&wire.Look{}, nil), errs.Full), ShouldBeTrue)
		})
	})
}

func TestLostSessionTellsEveryCall(t *testing.T) {
	Convey("Given calls that wait for a reply", t, func() {
		arrived := make(chan struct{}, 10)
		server, client := newNodePair(Options{}, func(wire.Who, any, func(any)) { arrived <- struct{}{} })
		defer client.Close()
		peer := client.Peer(wire.PlaceLink, server.Addr())
		waitConnected(peer)
		got := make(chan error, 10)
		for range 10 {
			So(peer.Post(&wire.Look{}, func(_ any, err error) { got <- err }), ShouldBeNil)
			<-arrived
		}
		Convey("a broken connection fails each of them with Lost", func() {
			server.Close()
			for range 10 {
				So(errs.Is(<-got, errs.Lost), ShouldBeTrue)
			}
		})
	})
}

func TestHandshakeRejects(t *testing.T) {
	cases := []struct {
		name string
		opts Options
		link *wire.Link
	}{
		{"a link that the peer does not serve", Options{}, wire.RunLink},
		{"no wire version in common", Options{Newest: wire.Version + 1, Oldest: wire.Version + 1}, wire.PlaceLink},
	}
	Convey("Given a server of the place link", t, func() {
		server, client := newNodePair(Options{}, func(wire.Who, any, func(any)) {})
		defer server.Close()
		defer client.Close()
		for _, c := range cases {
			Convey("it rejects "+c.name, func() {
				stranger, err := NewNode(c.opts)
				So(err, ShouldBeNil)
				_, err = stranger.dial(c.link, server.Addr())
				So(errs.Is(err, errs.Rejected), ShouldBeTrue)
			})
		}
		Convey("it closes a connection of another protocol", func() {
			conn, err := net.Dial("tcp", server.Addr())
			So(err, ShouldBeNil)
			conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			_, err = conn.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		})
	})
}

func TestOrderedLinkKeepsOrder(t *testing.T) {
	Convey("Given an ordered link with batches of one", t, func() {
		seen := make(chan int64, 2000)
		server, client := newNodePair(Options{Batch: 1}, func(_ wire.Who, body any, _ func(any)) { seen <- body.(*wire.GroupMsg).Index })
		defer server.Close()
		defer client.Close()
		peer := client.Peer(wire.GroupLink, server.Addr())
		waitConnected(peer)
		Convey("two thousand messages arrive in the order in which they were sent", func() {
			for i := range int64(2000) {
				So(peer.Post(&wire.GroupMsg{Index: i}, nil), ShouldBeNil)
			}
			isSorted := true
			for i := range int64(2000) {
				isSorted = isSorted && <-seen == i
			}
			So(isSorted, ShouldBeTrue)
		})
	})
}

func TestMixedVersionsSettle(t *testing.T) {
	Convey("Given a server of wire version 1", t, func() {
		server, client := newNodePair(Options{Newest: 1, Oldest: 1}, func(wire.Who, any, func(any)) {})
		defer server.Close()
		defer client.Close()
		Convey("a daemon that supports 1 and 2 uses 1", func() {
			newer, err := NewNode(Options{Newest: 2, Oldest: 1})
			So(err, ShouldBeNil)
			s, err := newer.dial(wire.PlaceLink, server.Addr())
			So(err, ShouldBeNil)
			So(s.version, ShouldEqual, 1)
			s.shutDown(errs.New(errs.Lost, "the test has ended"))
		})
		Convey("a field of version 2 is left out for it, and not for a newer server", func() {
			for newest, want := range map[int64]int64{1: 0, 2: 5} {
				got := make(chan int64, 1)
				server, client := newNodePair(Options{Newest: newest, Oldest: 1}, func(_ wire.Who, body any, answer func(any)) {
					got <- body.(*wire.Look).Wait
					answer(&wire.Sight{Id: "0-x", Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}})
				})
				peer := client.Peer(wire.PlaceLink, server.Addr())
				waitConnected(peer)
				reply, err := peer.Call(context.Background(), &wire.Look{Id: "0-x", Wait: 5})
				So(err, ShouldBeNil)
				So(reply.(*wire.Sight).Id, ShouldEqual, "0-x")
				So(<-got, ShouldEqual, want)
				client.Close()
				server.Close()
			}
		})
		Convey("a message type that the peer does not support is rejected locally, and the link stays open", func() {
			grant := func(_ wire.Who, _ any, answer func(any)) { answer(&wire.Grant{}) }
			server, err := NewNode(Options{Newest: 6, Oldest: 1, Listen: "127.0.0.1:0", Handlers: map[string]Handler{"run": grant}})
			So(err, ShouldBeNil)
			defer server.Close()
			go server.Serve()
			peer := client.Peer(wire.RunLink, server.Addr())
			waitConnected(peer)
			So(errs.Is(peer.Post(&wire.AskTime{Group: 1}, func(any, error) {}), errs.Rejected), ShouldBeTrue)
			_, err = peer.Call(context.Background(), &wire.Want{Pool: "p"})
			So(err, ShouldBeNil)
			So(len(peer.pendingReplies), ShouldEqual, 0)
		})
		Convey("a daemon of another deployment shape is rejected", func() {
			other, err := NewNode(Options{Shape: "places=7 parts=1"})
			So(err, ShouldBeNil)
			_, err = other.dial(wire.PlaceLink, server.Addr())
			So(errs.Is(err, errs.Rejected), ShouldBeTrue)
		})
	})
}
