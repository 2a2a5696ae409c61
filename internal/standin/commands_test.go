package standin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestOrdersInCalm guards against a judge that looks at a command only if nothing is disrupted from its start on: a
// command that stayed unacknowledged for a minute after a disruption then passed.
func TestOrdersInCalm(t *testing.T) {
	disruptedFrom := func(starts ...time.Duration) (out []Disruption) {
		for _, from := range starts {
			out = append(out, Disruption{Daemon: "core-1", From: from, Until: from + s})
		}
		return out
	}
	cases := []struct {
		text        string
		command     Command
		disruptions []Disruption
		isBreach    bool
	}{
		{"acknowledged in time without a disruption", Command{At: 20 * s, AckAt: 25 * s}, nil, false},
		{"acknowledged late without a disruption", Command{At: 20 * s, AckAt: 26 * s}, nil, true},
		{"acknowledged in time after a disruption and the contact bound", Command{At: 20 * s, AckAt: 30 * s}, disruptedFrom(21 * s), false},
		{"acknowledged late after a disruption and the contact bound", Command{At: 20 * s, AckAt: 32 * s}, disruptedFrom(21 * s), true},
		{"given up after a later long span without a disruption", Command{At: 20 * s, GivenUpAt: 32 * s}, disruptedFrom(21 * s), true},
		{"given up during repeated disruptions", Command{At: 20 * s, GivenUpAt: 40 * s}, disruptedFrom(20*s, 28*s, 36*s), false},
		{"given up during a disruption that never ends", Command{At: 20 * s, GivenUpAt: 40 * s}, []Disruption{{Daemon: "core-1", From: 19 * s}}, false},
	}
	Convey("A command is judged that was", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				h := cleanHistory()
				h.Commands, h.Disruptions = []Command{c.command}, c.disruptions
				rules := []string{}
				for _, b := range Judge(h, true) {
					if b.Rule == RuleAcks {
						rules = append(rules, b.Rule)
					}
				}
				So(len(rules) > 0, ShouldEqual, c.isBreach)
			})
		}
	})
}
