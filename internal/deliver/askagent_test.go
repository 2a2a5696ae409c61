package deliver

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/settings"
	"caperwheel/internal/transport"
	"caperwheel/internal/wire"
)

// TestAskAgent checks what an owner is told of a run of an earlier boot of the adapter. It guards against requests that
// are never answered while the agent is unreachable: one more stayed pending each time, until the link was full.
func TestAskAgent(t *testing.T) {
	cases := []struct {
		name  string
		agent func(answer func(any)) // nil: it is unreachable
		want  wire.OpenAck
	}{
		{"has its result", func(answer func(any)) { answer(&wire.OutcomeAck{}) }, wire.OpenAck{State: "open"}},
		{"has no result", func(answer func(any)) { answer(&wire.OutcomeAck{Kind: string(errs.Unknown)}) }, wire.OpenAck{State: "gone"}},
		{"answers with an error", func(answer func(any)) { answer(&wire.OutcomeAck{Kind: string(errs.Full)}) }, wire.OpenAck{Kind: "lost"}},
		{"answers with another type", func(answer func(any)) { answer(&wire.Taken{}) }, wire.OpenAck{Kind: "lost"}},
		{"is unreachable", nil, wire.OpenAck{Kind: "lost"}},
	}
	Convey("Asked about a run of an earlier boot, when the agent", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				a, seed := newTestAdapter("127.0.0.1:1"), closedPort()
				if c.agent != nil {
					agent, err := transport.NewNode(transport.Options{Listen: "127.0.0.1:0", Handlers: map[string]transport.Handler{
						"place": func(_ wire.Who, _ any, answer func(any)) { c.agent(answer) }}})
					So(err, ShouldBeNil)
					Reset(agent.Close)
					go agent.Serve()
					seed = agent.Addr()
				}
				node, err := transport.NewNode(transport.Options{})
				So(err, ShouldBeNil)
				Reset(node.Close)
				a.d.Node, a.d.Settings = node, settings.Settings{Seeds: []string{seed}}
				if c.agent != nil {
					up := node.Peer(wire.PlaceLink, seed)
					for up.EnsureConnected(); !up.IsConnected(); {
					}
				}
				told := make(chan wire.OpenAck, 1)
				a.Serve(wire.Who{}, &wire.Open{Id: "0-x", Attempt: 1, Boot: "an earlier boot"}, func(reply any) { told <- *reply.(*wire.OpenAck) })
				got := wire.OpenAck{State: "no answer"}
				select {
				case got = <-told:
				case <-time.After(5 * time.Second): // reached only if the test fails
				}
				So(got, ShouldResemble, c.want)
			})
		}
	})
}
