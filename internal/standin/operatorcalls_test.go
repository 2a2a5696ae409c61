package standin

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/linearize"
)

// TestCallsAreJudged checks that Judge tests the operators' calls of a run for linearizability.
func TestCallsAreJudged(t *testing.T) {
	type op = linearize.Operation
	first := op{CalledAt: 1 * s, ReturnedAt: 2 * s, Kind: linearize.Replace, Outcome: linearize.Confirmed, Version: 3, Digest: "a"}
	second := op{CalledAt: 30 * s, ReturnedAt: 31 * s, Kind: linearize.Update, Outcome: linearize.Confirmed, Version: 5, Base: 3, Digest: "b"}
	again := func(outcome linearize.Outcome) op {
		o := first
		o.CalledAt, o.ReturnedAt, o.Outcome = 40*s, 41*s, outcome
		return o
	}
	read := func(version int64, digest string) op {
		return op{CalledAt: 50 * s, ReturnedAt: 51 * s, Kind: linearize.Read, Outcome: linearize.Confirmed, ReadVersion: version, ReadDigest: digest}
	}
	zone := func(outcome linearize.Outcome) op {
		return op{CalledAt: 5 * s, ReturnedAt: 6 * s, Kind: linearize.Evacuate, Outcome: outcome, Zone: "north"}
	}
	rival := op{CalledAt: 30 * s, ReturnedAt: 31 * s, Kind: linearize.Replace, Outcome: linearize.Confirmed, Version: 5, Base: 3, Digest: "c"}
	cases := []struct {
		name, rule string // empty: no breach is expected
		calls      []op
	}{
		{"two changes, the second one read back", "", []op{first, second, read(5, "b")}},
		{"an acknowledged change that is acknowledged again", "", []op{first, second, again(linearize.Confirmed), read(5, "b")}},
		{"an acknowledged change whose repetition gets no conclusive response", "", []op{first, second, again(linearize.Indeterminate), read(5, "b")}},
		{"an acknowledged change whose repetition is refused", RuleConfig, []op{first, second, again(linearize.Refused)}},
		{"two confirmed changes with the same version", RuleConfig, []op{first, second, rival}},
		{"a stale read", RuleConfig, []op{first, second, read(3, "a")}},
		{"a read of a configuration that was never sent", RuleConfig, []op{first, second, read(5, "unknown request")}},
		{"an evacuation", "", []op{first, zone(linearize.Confirmed)}},
		{"an evacuation that is refused", RuleEvac, []op{first, zone(linearize.Refused)}},
	}
	Convey("Given a run with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				h := cleanHistory()
				h.Calls = c.calls
				want, got := []string{}, []string{}
				if c.rule != "" {
					want = append(want, c.rule)
				}
				for _, b := range Judge(h, true) {
					got = append(got, b.Rule)
				}
				So(got, ShouldResemble, want)
			})
		}
		Convey("the digest of the request that resulted in a configuration is found", func() {
			h := cleanHistory()
			h.Edits[1].RequestDigest = "b"
			So(h.requestDigestOf([]byte(`{"x":1,"version":5}`)), ShouldEqual, "b")
			So(h.requestDigestOf([]byte(`{"x":2,"version":5}`)), ShouldEqual, "unknown request")
			h.Edits = append(h.Edits, Edit{Edit: check.Edit{Revision: 9}, IsInvalid: true, Document: []byte(`{"version":9}`)})
			So(h.requestDigestOf([]byte(`{"version":9}`)), ShouldEqual, "unknown request")
		})
	})
}
