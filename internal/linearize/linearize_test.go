package linearize

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// at builds a call that lasts from one moment to another.
func at(from, to int, o Operation) Operation {
	o.CalledAt, o.ReturnedAt = time.Duration(from), time.Duration(to)
	return o
}

func replace(outcome Outcome, base, version int64, digest string) Operation {
	return Operation{Kind: Replace, Outcome: outcome, Base: base, Version: version, Digest: digest}
}

func read(version int64, digest string) Operation {
	return Operation{Kind: Read, Outcome: Confirmed, ReadVersion: version, ReadDigest: digest}
}

func zoneCall(kind Kind, outcome Outcome) Operation {
	return Operation{Kind: kind, Outcome: outcome, Zone: "z"}
}

func readZone(isEvacuated bool) Operation {
	return Operation{Kind: ReadZone, Outcome: Confirmed, Zone: "z", IsEvacuated: isEvacuated}
}

func TestHistories(t *testing.T) {
	cases := []struct {
		name    string
		says    string // empty: linearizable
		history []Operation
	}{
		{"nothing", "", nil},
		{"one after another", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")), at(2, 3, replace(Confirmed, 3, 5, "b")),
			at(4, 5, read(5, "b"))}},
		{"a loser is refused", "", []Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Refused, 0, 3, "b"))}},
		{"a taken order is acknowledged again under a newer one", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 3, 5, "b")), at(4, 5, replace(Confirmed, 0, 3, "a")), at(6, 7, read(5, "b"))}},
		{"one without a clear answer holds later", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")), at(2, 3, read(0, "")),
			at(4, 5, read(3, "a"))}},
		{"one without a clear answer never holds", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 0, 4, "b")), at(4, 5, read(4, "b"))}},
		{"one without a clear answer is in the way", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Refused, 0, 4, "b"))}},
		{"one that was refused is sent anew on what it builds on", "", []Operation{at(0, 1, replace(Refused, 3, 5, "b")),
			at(2, 3, replace(Confirmed, 0, 3, "a")), at(4, 5, replace(Confirmed, 3, 5, "b"))}},
		{"two confirmed under one number", "two confirmed under one number",
			[]Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Confirmed, 0, 3, "b"))}},
		{"two confirmed on one base", "two confirmed on one base",
			[]Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Confirmed, 0, 4, "b"))}},
		{"a re-send is refused", "an order that was taken was refused",
			[]Operation{at(0, 1, replace(Confirmed, 0, 3, "a")), at(2, 3, replace(Refused, 0, 3, "a"))}},
		{"a re-send is refused under many newer ones", "an order that was taken was refused",
			append(changeChain(20), at(900, 901, replace(Refused, 2, 3, "3")))},
		{"one without a clear answer was taken and then refused", "no place for",
			[]Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")), at(2, 3, read(3, "a")), at(4, 5, replace(Refused, 0, 3, "a"))}},
		{"what was refused comes in force", "no place for",
			[]Operation{at(0, 1, replace(Refused, 0, 3, "a")), at(2, 3, read(3, "a"))}},
		{"a first try holds after its re-send was refused", "no place for", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Refused, 0, 3, "a")), at(4, 5, read(3, "a"))}},
		{"a stale read after a newer acknowledgement", "a stale read", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 3, 5, "b")), at(4, 5, read(3, "a"))}},
		{"a read beside a change may tell either", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 9, replace(Confirmed, 3, 5, "b")), at(4, 5, read(3, "a")), at(6, 7, read(5, "b"))}},
		{"reads go back", "no place for", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 9, replace(Confirmed, 3, 5, "b")), at(4, 5, read(5, "b")), at(6, 7, read(3, "a"))}},
		{"a read under a number of what lost", "a read of another order", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(0, 1, replace(Indeterminate, 0, 3, "b")), at(4, 5, read(3, "b"))}},
		{"an invalid one is confirmed", "an invalid order", []Operation{at(0, 1,
			Operation{Kind: Replace, Outcome: Confirmed, Version: 3, Digest: "a", IsInvalid: true})}},
		{"a proper one is refused", "no place for", []Operation{at(0, 1, replace(Refused, 0, 3, "a"))}},
		{"an evacuation stands", "", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, readZone(true)),
			at(4, 5, zoneCall(Finish, Confirmed)), at(6, 7, readZone(false))}},
		{"an evacuation is forgotten", "no place for", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, readZone(false))}},
		{"one evacuation of two is taken back", "", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, zoneCall(Evacuate, Confirmed)),
			at(4, 5, zoneCall(Finish, Confirmed)), at(6, 7, readZone(true))}},
		{"an evacuation is refused", "an order about a zone", []Operation{at(0, 1, zoneCall(Evacuate, Refused))}},
	}
	Convey("Of histories of operators' calls,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				ok, text := Check(c.history)
				So(ok, ShouldEqual, c.says == "")
				So(text, ShouldContainSubstring, c.says)
				So(strings.Contains(text, "\n"), ShouldBeFalse)
			})
		}
		Convey("a search that comes to no end says so", func() {
			ok, text := CheckWithin(changeChain(20), 10)
			So(ok, ShouldBeFalse)
			So(text, ShouldContainSubstring, "undecided")
		})
	})
}

// changeChain is one confirmed change after another, each on the one before.
func changeChain(count int) (out []Operation) {
	for i := range count {
		out = append(out, at(10*i, 10*i+1, replace(Confirmed, int64(i), int64(i)+1, fmt.Sprint(i+1))))
	}
	return out
}

// TestLongHistories: hundreds of changes from eight operators, many answers
// lost, are judged within the bound on steps, and one wrong answer is found.
func TestLongHistories(t *testing.T) {
	Convey("Of 500 changes with eight under way and answers lost,", t, func() {
		for seed := range uint64(8) {
			history := randomHistory(rand.New(rand.NewPCG(seed, 1)), 500)
			ok, text := Check(history)
			So(text, ShouldBeBlank)
			So(ok, ShouldBeTrue)
			last := history[len(history)-1]
			ok, _ = Check(append(history, at(1e9, 1e9+1, read(last.Base-1, ""))))
			So(ok, ShouldBeFalse)
		}
	})
}

// randomHistory plays operators against one machine: each call takes effect somewhere
// within its time, if it does. Some build on what is no longer the newest, some
// are sent again, and a third of the answers is lost.
func randomHistory(draw *rand.Rand, count int) (out []Operation) {
	version, taken, refused := int64(0), map[string]bool{}, map[string]bool{}
	for i := range count {
		o := replace("", version, version+1+draw.Int64N(3), fmt.Sprint(i))
		if len(out) > 0 && draw.IntN(4) == 0 {
			o = out[draw.IntN(len(out))]
		} else if draw.IntN(4) == 0 {
			o.Base--
		}
		switch {
		case refused[o.Digest]:
			continue
		case taken[o.Digest]:
			o.Outcome = Confirmed
		case o.Base == version:
			o.Outcome, version, taken[o.Digest] = Confirmed, o.Version, true
		default:
			o.Outcome = Refused
		}
		if draw.IntN(3) == 0 {
			o.Outcome = Indeterminate
		}
		refused[o.Digest] = refused[o.Digest] || o.Outcome == Refused
		o.Client = i % 8
		out = append(out, at(10*i-draw.IntN(80), 10*i+draw.IntN(80), o))
	}
	return append(out, at(20*count, 20*count+1, Operation{Kind: Read, Outcome: Confirmed, ReadVersion: version, Base: version}))
}
